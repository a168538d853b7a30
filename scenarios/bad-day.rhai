// Overlapping faults, most of them at times drawn by the seed.
when("the owner has just placed", end("owner", 2));
when("a machine holds a finished result", lose_holder());
at(6, late_writes(2, 5));
at(9, cut("owner", "workers", 8));
for n in 0..3 { at_random(8, 24, lose_machines(1)); }
at(14, outage(4));
at(20, pause("owner", 6));
at(24, unanswered(3));
at(26, roll(2));
