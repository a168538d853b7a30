// Half of the fleet is lost in mid-run, and in the same second the owner ends.
at(12, lose_machines(0.5));
at(12, end("owner", 3));
