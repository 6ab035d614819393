package standin

import "github.com/rotisserie/eris"

var (
	errUnavailable  = eris.New("stand-in is unavailable")
	errResponseLost = eris.New("answer was lost")
)
