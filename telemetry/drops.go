package telemetry

// DropMessage is the message of the records that count dropped lines.
const DropMessage = "log lines left out"

// ReportDropped calls log with the lines that were dropped since the last record, by message, and how many of them were to be
// kept. Log writes a line with DropMessage. If the queue does not take that line, its figures are part of the next record: the
// queue is full just when lines are dropped. It reports whether no figures are left.
func (s *LogSink) ReportDropped(log func(lines map[string]int64, keptLost int64)) bool {
	lines, keptLost := s.Dropped(), s.KeptLost()
	if len(lines) == 0 {
		return true
	}
	log(lines, keptLost)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped[DropMessage] == 0 {
		return true
	}
	delete(s.dropped, DropMessage)
	for message, n := range lines {
		s.dropped[message] += n
	}
	if s.keepsJobs() {
		s.jobs.keptLost += keptLost
	}
	return false
}
