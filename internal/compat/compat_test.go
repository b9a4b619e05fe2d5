// Package compat checks that this build still reads what the build of commit 2ded5ce wrote. encoding/gob and encoding/json write
// struct fields out by name, so a renamed field would be read as zero without any error. The files under testdata were written
// by 2ded5ce with the flag -write; they are not to be written again by a later build.
package compat

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/consensus"
	"peathollow/controlplane"
	"peathollow/distribution"
	"peathollow/duty"
	"peathollow/failuredetector"
	"peathollow/fleet"
	"peathollow/fleet/overload"
	"peathollow/manifest"
	"peathollow/registry"
)

var write = flag.Bool("write", false, "write the files under testdata with this build")

// fill sets every exported field of a value to something other than zero that follows from the path of its encoded field names alone.
func fill(path string, v reflect.Value) {
	h := fnv.New64a()
	h.Write([]byte(path))
	n := h.Sum64()%100 + 1
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(n)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) / 4)
	case reflect.String:
		v.SetString(path)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(path, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(path+"[]", v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(path+"[]", v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(path+".key", key)
		fill(path+".value", value)
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if !f.IsExported() {
				continue
			}
			name := f.Name
			if tag, _, _ := strings.Cut(f.Tag.Get("json"), ","); tag != "" {
				name = tag // the name in the encoding; the field's own may change
			}
			fill(path+"."+name, v.Field(i))
		}
	default:
		panic("no value for " + path + " of kind " + v.Kind().String())
	}
}

// filled gives a value of a type with every exported field set.
func filled[T any]() *T {
	x := new(T)
	fill("", reflect.ValueOf(x).Elem())
	return x
}

// golden gives the bytes that 2ded5ce wrote.
func golden(t *testing.T, name string, now []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *write {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile(file, now, 0o644))
	}
	b, err := os.ReadFile(file)
	must.NoError(t, err)
	return b
}

// checkGob checks that the bytes written by 2ded5ce give a value with every field set.
func checkGob[T any](name string) func(t *testing.T) {
	return func(t *testing.T) {
		want := filled[T]()
		var b bytes.Buffer
		must.NoError(t, gob.NewEncoder(&b).Encode(want))
		var got T
		must.NoError(t, gob.NewDecoder(bytes.NewReader(golden(t, name+".gob", b.Bytes()))).Decode(&got))
		must.Eq(t, *want, got)
	}
}

// checkJSON checks that this build writes the very bytes that 2ded5ce wrote, and reads every field of them.
func checkJSON[T any](name string) func(t *testing.T) {
	return func(t *testing.T) {
		want := filled[T]()
		b, err := json.Marshal(want)
		must.NoError(t, err)
		old := golden(t, name+".json", b)
		must.Eq(t, string(old), string(b))
		var got T
		must.NoError(t, json.Unmarshal(old, &got))
		must.Eq(t, *want, got)
	}
}

// TestGob covers all values that processes send each other or store by encoding/gob.
func TestGob(t *testing.T) {
	t.Run("consensus-message", checkGob[consensus.Message]("consensus-message"))
	t.Run("stored-id", checkGob[consensus.ID]("stored-id"))
	t.Run("stored-vote", checkGob[consensus.Vote]("stored-vote"))
	t.Run("stored-copy", checkGob[consensus.Copy]("stored-copy"))
	t.Run("stored-doc", checkGob[consensus.Document]("stored-doc"))
	t.Run("stored-entry", checkGob[registry.Entry]("stored-entry"))
	t.Run("call", checkGob[controlplane.Call]("call"))
	t.Run("answer", checkGob[consensus.Answer]("answer"))
	t.Run("pull-request", checkGob[distribution.PullRequest]("pull-request"))
	t.Run("pull-answer", checkGob[distribution.PullResponse]("pull-answer"))
	t.Run("manifest-patch", checkGob[manifest.Patch]("manifest-patch"))
}

// TestJSON covers what instances tell each other as JSON.
func TestJSON(t *testing.T) {
	t.Run("load-report", checkJSON[overload.Report]("load-report"))
	t.Run("loan-request", checkJSON[overload.LoanRequest]("loan-request"))
	t.Run("loan", checkJSON[overload.Loan]("loan"))
	t.Run("fleet-message", func(t *testing.T) {
		m := filled[fleet.Message]()
		m.Piece = json.RawMessage(`{"n":1}`)
		b := m.Append(nil)
		old := golden(t, "fleet-message.json", b)
		must.Eq(t, string(old), string(b))
		got, err := fleet.Read(old)
		must.NoError(t, err)
		must.Eq(t, *m, got)
	})
}

// TestBinary covers messages with an encoding of their own.
func TestBinary(t *testing.T) {
	t.Run("duty-message", func(t *testing.T) {
		m := filled[duty.Message]()
		m.Kind, m.Shares = duty.Claim, []uint16{3, 7}
		for i := range m.Results {
			m.Results[i].Outcome = duty.Failed
		}
		b := m.Append(nil)
		old := golden(t, "duty-message.bin", b)
		must.Eq(t, old, b)
		got, err := duty.DecodeMessage(old)
		must.NoError(t, err)
		must.Eq(t, m.Append(nil), got.Append(nil))
	})
	t.Run("heartbeat", func(t *testing.T) {
		b := failuredetector.AppendHeartbeat(nil, failuredetector.Key("agent/front-0/1"), 300)
		old := golden(t, "heartbeat.bin", b)
		must.Eq(t, old, b)
		key, no, ok := failuredetector.ReadHeartbeat(old)
		must.True(t, ok)
		must.Eq(t, failuredetector.Key("agent/front-0/1"), key)
		must.Eq(t, uint64(300), no)
	})
	t.Run("packed-configuration", func(t *testing.T) {
		raw := []byte(`{"config-version":7}`)
		got, err := manifest.Unpack(golden(t, "packed-configuration.bin", manifest.Pack(raw)), 1<<10)
		must.NoError(t, err)
		must.Eq(t, raw, got)
	})
}
