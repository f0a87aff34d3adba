package agent

import (
	"io"
	"net/http"

	"k8s.io/klog/v2"
)

// ServeHTTP hands a caller's request to the backend server and copies the answer.
func (ag *Agent) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	out, err := http.NewRequestWithContext(re.Context(), re.Method, "http://"+ag.cfg.Backend.String()+re.URL.RequestURI(), re.Body)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	out.Header = re.Header.Clone()
	out.ContentLength = re.ContentLength
	answer, err := ag.backend.Do(out)
	if err != nil {
		klog.V(1).InfoS("Backend server failed", "Backend", ag.cfg.Backend, "Err", err)
		http.Error(wr, "backend server failed", http.StatusBadGateway)
		return
	}
	defer answer.Body.Close()
	for name, values := range answer.Header {
		wr.Header()[name] = values
	}
	wr.WriteHeader(answer.StatusCode)
	if _, err := io.Copy(wr, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
