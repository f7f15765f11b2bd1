package io.figspan.cli.caller;

/** Outcome of one order as its caller was told it: {@code ran}, {@code notRun} or {@code unknown}. */
record OrderResult(String service, String order, String run, int tickets, int attempts, String detail) {}
