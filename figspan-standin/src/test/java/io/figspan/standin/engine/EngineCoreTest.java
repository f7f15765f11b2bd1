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
    private static final long CAPACITY = OPTIONS.memoryTokens();
    private static final int MAX_TOKENS = 3;

    private final EngineCore core = new EngineCore(OPTIONS);
    private long nowNanos = 1_000;

    /** Guards against a batch that starts a prompt whose memory it does not have. */
    @Test
    void aPromptWaitsUntilItsMemoryIsFree() {
        EngineJob first = submit("s1", 1, CAPACITY - 10, 0);
        EngineJob second = submit("s2", 2, 100, 0);
        assertEquals(EngineJob.State.WAITING, second.state());
        runUntilOver(first);
        steps(1);
        assertTrue(second.state() != EngineJob.State.WAITING);
        runUntilOver(second);
        assertEquals(CAPACITY, core.memory().freeTokens());
    }

    /** Guards against memory that stays taken when the host that took it is gone. */
    @Test
    void anExpiredHoldIsReturnedWithoutItsOwner() {
        core.memory().take(handle(1), 500, 100, nowNanos);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
        steps(1);
        assertEquals(CAPACITY, core.memory().freeTokens());
    }

    /** Guards against a delayed hold that takes memory after its release has been handled. */
    @Test
    void aHoldThatArrivesAfterItsReleaseTakesNothing() {
        core.release(handle(1), nowNanos);
        assertEquals(EngineMemory.Taken.RELEASED, core.memory().take(handle(1), 500, 1_000, nowNanos));
        assertEquals(CAPACITY, core.memory().freeTokens());
    }

    /** Guards against a host that wakes late and cancels a stream that another host reads by now. */
    @Test
    void aCancelOfAnOlderReaderHasNoEffect() {
        EngineJob job = submit("s1", 1, 100, 0);
        long olderReader = job.attach(new NoReader());
        job.attach(new NoReader());
        assertFalse(core.cancel("s1", olderReader, nowNanos));
        assertTrue(core.cancel("s1", olderReader + 1, nowNanos));
        assertEquals(CAPACITY, core.memory().freeTokens());
    }

    /** Guards against a long prompt that holds up a short one that is ordered before it. */
    @Test
    void theOrderOfServiceDecidesWhoIsPrefilledFirst() {
        EngineJob late = submit("s1", 1, 100_000, 50);
        EngineJob early = submit("s2", 2, 1_000, 10);
        steps(1);
        assertEquals(0, early.prefillLeftTokens());
        assertTrue(late.prefillLeftTokens() > 0);
    }

    /** Guards against an answer that breaks off for a caller who resumes at its end. */
    @Test
    void aFinishedStreamStaysReadableForAWhile() {
        EngineJob job = submit("s1", 1, 100, 0);
        runUntilOver(job);
        assertEquals(Optional.of(job), core.find("s1"));
        nowNanos += TimeUnit.MILLISECONDS.toNanos(EngineCore.KEEP_FINISHED_MS);
        steps(1);
        assertEquals(Optional.empty(), core.find("s1"));
    }

    /** Guards against new work on an engine that is leaving, and against cutting off its work in flight. */
    @Test
    void aLeavingEngineFinishesItsWorkAndTakesNoMore() {
        EngineJob job = submit("s1", 1, 100, 0);
        core.leave();
        assertEquals(Optional.of("leaving"), core.submit(job("s2", 2, 100, 0), nowNanos));
        runUntilOver(job);
        assertEquals(EngineJob.State.FINISHED, job.state());
    }

    private EngineJob submit(String stream, long hold, long promptTokens, long orderMs) {
        EngineJob job = job(stream, hold, promptTokens, orderMs);
        assertEquals(Optional.empty(), core.submit(job, nowNanos));
        return job;
    }

    private EngineJob job(String stream, long hold, long promptTokens, long orderMs) {
        return new EngineJob(
                new EngineJob.Submission(
                        stream, handle(hold), orderMs, 7, (int) promptTokens, promptTokens, 0, MAX_TOKENS, 600_000),
                0,
                nowNanos);
    }

    private void runUntilOver(EngineJob job) {
        for (int i = 0; i < 1_000 && !job.isOver(); i++) {
            steps(1);
        }
        assertTrue(job.isOver());
    }

    /** Runs steps and checks after each that no more memory is taken than there is. */
    private void steps(int count) {
        for (int i = 0; i < count; i++) {
            core.step(OPTIONS.prefillTokensPerStep(), nowNanos);
            long free = core.memory().freeTokens();
            assertTrue(free >= 0 && free <= CAPACITY);
        }
    }

    private static HoldHandle handle(long sequence) {
        return HoldHandle.parse("host-1@1#" + sequence);
    }

    private static final class NoReader implements EngineJob.Reader {
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
