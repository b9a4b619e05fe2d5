//go:build cgo && linux

package hangup

/*
#include <features.h>
#include <signal.h>
#include <string.h>

// glibc passes the arguments of the program to constructors; other C libraries may not.
#ifdef __GLIBC__
static int serves(const char *command) {
	static const char *const commands[] = {"proxy", "agent", "controller", "quay", "tender", "harbour", "serve"};
	for (unsigned i = 0; i < sizeof commands / sizeof *commands; i++)
		if (strcmp(command, commands[i]) == 0)
			return 1;
	return 0;
}

__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	if (argc == 1 || (argc > 1 && serves(argv[1])))
		signal(SIGHUP, SIG_IGN);
}
#endif
*/
import "C"
