package reducer

// applyKeyLog folds the streams of reserved idempotency keys.
func (s *State) applyKeyLog(Event) {}

// tickKeys appends the reservations that wait for a batch.
func (s *State) tickKeys() {}
