// three combinations of two faults each, with withdrawals in their midst.
sizes("combined-faults.toml");
// The gap: the store refuses the owner alone, users withdraw through the others; then it is out for all, longer than `cancel_s`.
at(14, refuse("owner", 14));
at(14.1, withdraw_share(0.7));
at(14.75, outage(26));
// A leader without the store and the other controllers, with its workers and users; jobs are withdrawn through the new one.
at(46, lone("owner", 9));
at(49, withdraw_share(0.5));
// A slow store that answers near the client's time-out, late writes, and the owner ended and back within a second.
at(60, slow_store(1400, 6));
at(60.2, late_writes(4, 5));
at(61, withdraw_share(0.5));
at(62, end("owner", 0.5));
