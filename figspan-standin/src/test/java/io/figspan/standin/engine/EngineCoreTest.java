package io.figspan.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.HoldHandle;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EngineCoreTest {
    private static final EngineOptions OPTIONS = EngineOptions.of("engine-1", "az-1", "model");
    private static final long CAPACITY_TOKENS = OPTIONS.memoryTokens();
    private static final int MAX_TOKENS = 3;

    private final EngineCore core = new EngineCore(OPTIONS);
    private long nowNanos = 1_000;

    /** Guards against starting a prompt before there is enough free KV memory for it. */
    @Test
    void promptWaitsUntilItsMemoryIsFree() {
        EngineJob first = submit("s1", 1, CAPACITY_TOKENS - 10, 0);
        EngineJob second = submit("s2", 2, 100, 0);
        assertEquals(EngineJob.State.WAITING, second.state());
        runUntilTerminal(first);
        runSteps(1);
        assertTrue(second.state() != EngineJob.State.WAITING);
        runUntilTerminal(second);
        assertEquals(CAPACITY_TOKENS, core.memory().freeTokens());
    }

    /** Guards against a memory leak when a host crashes before it releases its hold. */
    @Test
    void expiredHoldIsReleased() {
        core.memory().allocate(handle(1), 500, 100, nowNanos);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
        runSteps(1);
        assertEquals(CAPACITY_TOKENS, core.memory().freeTokens());
    }

    /** Guards against a memory leak when a delayed hold request arrives after the release of its handle. */
    @Test
    void holdRequestAfterReleaseAllocatesNothing() {
        core.release(handle(1), nowNanos);
        assertEquals(EngineMemory.AllocationResult.RELEASED, core.memory().allocate(handle(1), 500, 1_000, nowNanos));
        assertEquals(CAPACITY_TOKENS, core.memory().freeTokens());
    }

    /** Guards against a paused host that resumes and cancels a stream that another host has taken over. */
    @Test
    void cancelByOlderReaderHasNoEffect() {
        EngineJob job = submit("s1", 1, 100, 0);
        long olderReader = job.attach(new NoOpReader());
        job.attach(new NoOpReader());
        assertFalse(core.cancel("s1", olderReader, nowNanos));
        assertTrue(core.cancel("s1", olderReader + 1, nowNanos));
        assertEquals(CAPACITY_TOKENS, core.memory().freeTokens());
    }

    /** Guards against head-of-line blocking: a long prompt must not delay a short one with a lower scheduling key. */
    @Test
    void lowerSchedulingKeyIsPrefilledFirst() {
        EngineJob late = submit("s1", 1, 100_000, 50);
        EngineJob early = submit("s2", 2, 1_000, 10);
        runSteps(1);
        assertEquals(0, early.remainingPrefillTokens());
        assertTrue(late.remainingPrefillTokens() > 0);
    }

    /** Guards against a truncated answer for a caller that resumes the stream after its job has finished. */
    @Test
    void finishedStreamStaysReadableForRetentionTime() {
        EngineJob job = submit("s1", 1, 100, 0);
        runUntilTerminal(job);
        assertEquals(Optional.of(job), core.find("s1"));
        nowNanos += TimeUnit.MILLISECONDS.toNanos(EngineCore.FINISHED_STREAM_RETENTION_MS);
        runSteps(1);
        assertEquals(Optional.empty(), core.find("s1"));
    }

    /** Guards against accepting jobs on a leaving engine, and against aborting the jobs in flight. */
    @Test
    void leavingEngineFinishesItsJobsAndRefusesNewOnes() {
        EngineJob job = submit("s1", 1, 100, 0);
        core.leave();
        assertEquals(Optional.of("leaving"), core.submit(job("s2", 2, 100, 0), nowNanos));
        runUntilTerminal(job);
        assertEquals(EngineJob.State.FINISHED, job.state());
    }

    private EngineJob submit(String stream, long hold, long promptTokens, long schedulingKeyMs) {
        EngineJob job = job(stream, hold, promptTokens, schedulingKeyMs);
        assertEquals(Optional.empty(), core.submit(job, nowNanos));
        return job;
    }

    private EngineJob job(String stream, long hold, long promptTokens, long schedulingKeyMs) {
        return new EngineJob(
                new EngineJob.Submission(
                        stream,
                        handle(hold),
                        schedulingKeyMs,
                        7,
                        (int) promptTokens,
                        promptTokens,
                        0,
                        MAX_TOKENS,
                        600_000),
                0,
                nowNanos);
    }

    private void runUntilTerminal(EngineJob job) {
        for (int i = 0; i < 1_000 && !job.isTerminal(); i++) {
            runSteps(1);
        }
        assertTrue(job.isTerminal());
    }

    /** Runs batch steps and checks after each that the allocated memory is within the capacity. */
    private void runSteps(int count) {
        for (int i = 0; i < count; i++) {
            core.step(OPTIONS.prefillTokensPerStep(), nowNanos);
            long free = core.memory().freeTokens();
            assertTrue(free >= 0 && free <= CAPACITY_TOKENS);
        }
    }

    private static HoldHandle handle(long sequence) {
        return HoldHandle.parse("host-1@1#" + sequence);
    }

    private static final class NoOpReader implements EngineJob.Reader {
        @Override
        public void onProgress(EngineJob job) {}

        @Override
        public void onSuperseded() {}

        @Override
        public boolean isOpen() {
            return true;
        }
    }
}
