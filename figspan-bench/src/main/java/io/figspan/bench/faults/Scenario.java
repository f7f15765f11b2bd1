package io.figspan.bench.faults;

/** A model of one guarantee. Its invariant is checked after every step. */
interface Scenario {
    /** Sets up the processes and schedules the first events and the faults. */
    void start(FaultRun faultRun);

    /** Checks the invariant and reports violations to the run. */
    void check(FaultRun faultRun);

    /** Checks what must hold once all faults are over. */
    default void finish(FaultRun faultRun) {}

    /** Logical time that one run covers, in milliseconds. */
    long durationMs();
}
