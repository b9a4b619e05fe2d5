package upstream

// readResponse reads the response to an exchange. firstUse means that the connection has carried no request before;
// connEnded, that nothing may follow on the connection; step names the operation that failed.
func (r *responseReader) readResponse(response *Response, exchange *Exchange, firstUse bool, options *Options) (responseHead head,
	connEnded bool, step string, err error) {
	if responseHead, err = r.readHead(options.MaxHeaderBytes); err != nil {
		return responseHead, false, "read head", err
	}
	response.Status, response.Load, response.HasLoad, response.RetryAfter = responseHead.status, responseHead.load,
		responseHead.hasLoad, responseHead.retryAfter
	response.Seal, response.SearcherID, response.NotExecuted = responseHead.seal, responseHead.searcherID, responseHead.notExecuted
	outcome, err := classify(&responseHead, exchange, firstUse)
	if err != nil {
		return responseHead, false, "check head", err
	}
	switch {
	case hasNoBody(exchange.Method, responseHead.status):
	case outcome == NotExecuted && responseHead.length < 0 && !responseHead.chunked:
		connEnded = true // the head is sufficient, and the body may never end
	default:
		if response.Body, connEnded, err = r.readBody(&responseHead, options.MaxBodyBytes, options.MaxHeaderBytes); err != nil {
			response.Body = nil
			return responseHead, connEnded, "read body", err
		}
	}
	response.Outcome, response.Headers = outcome, responseHead.headers
	return responseHead, connEnded, "", nil
}

// hasNoBody reports whether a response to the method with the status has no body, whatever its length fields say.
func hasNoBody(method string, status int) bool {
	return method == "HEAD" || status == 204 || status == 304
}

// classify checks that a head belongs to this request and returns its outcome. In doubt the request may have run.
func classify(h *head, exchange *Exchange, firstUse bool) (Outcome, error) {
	notExecuted := false // the head states that the request has not run
	switch h.status {
	case statusMisdirected:
		notExecuted = true
	case 400, 408, 429, 503: // Not-Executed is ignored for all other statuses: after a 500 or 504 the request counts as run
		notExecuted = h.notExecuted
	}
	success := h.status >= 200 && h.status < 300
	switch {
	case h.hasAttemptID && h.attemptID != exchange.AttemptID:
		return 0, invalidResponse("response to another request")
	case !h.hasAttemptID && exchange.AttemptID != "" && !(notExecuted && firstUse && h.searcherID == ""):
		// A refusal may lack the id. But on a used connection it may be a surplus response to an earlier request, and
		// one that names its searcher may be the response to a probe.
		return 0, invalidResponse("response without attempt id")
	case success && h.notExecuted:
		return 0, invalidResponse("successful response with Not-Executed")
	case success && h.seal == "" && exchange.AttemptID != "":
		return 0, invalidResponse("successful response without seal")
	case success && h.length < 0 && !h.chunked && !hasNoBody(exchange.Method, h.status):
		return 0, invalidResponse("successful response without length")
	}
	if notExecuted {
		return NotExecuted, nil
	}
	return Answered, nil
}
