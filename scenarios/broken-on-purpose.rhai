// Breaks a rule, so that it is seen that broken rules are found: a running task is started on a second machine.
at(8, start_twice());
