package io.figspan.standin.engine;

import io.figspan.core.id.HoldHandle;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The batch of one engine. Each step gives a token to each decoding job, then shares the prefill budget over the other
 * jobs in the order of service. Not safe for use by several threads.
 */
final class EngineCore {
    /** Jobs that wait or run; a further one is refused. */
    static final int MAX_JOBS = 256;

    /** Finished streams stay readable for this long, so that a caller can resume at the end of its answer. */
    static final long KEEP_FINISHED_MS = 30_000;

    /** KV state behind a hold: digest and length of the prompt part that has been prefilled or imported. */
    record KvState(long digest, long tokens) {}

    private final EngineOptions options;
    private final EngineMemory memory;
    private final PrefixCache cache;
    private final Map<String, EngineJob> streams = new LinkedHashMap<>();
    private final List<EngineJob> active = new ArrayList<>();
    private final Map<HoldHandle, KvState> kvStates = new LinkedHashMap<>();
    private boolean leaving;
    private int gateTokens = Integer.MAX_VALUE;

    EngineCore(EngineOptions options) {
        this.options = options;
        this.memory = new EngineMemory(options.memoryTokens());
        int cacheBlocks = (int) (options.memoryTokens() / 4 / PrefixCache.BLOCK_TOKENS);
        this.cache = new PrefixCache(cacheBlocks, TimeUnit.MILLISECONDS.toNanos(2L * options.reportLagMs()));
    }

    EngineMemory memory() {
        return memory;
    }

    PrefixCache cache() {
        return cache;
    }

    boolean isLeaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    /** Stops the generation of each answer at this offset until the gate is moved. */
    void setGate(int newGateTokens) {
        gateTokens = newGateTokens;
    }

    /** Takes a job, or returns why it is refused. */
    Optional<String> submit(EngineJob job, long nowNanos) {
        EngineJob.Submission submission = job.submission();
        if (leaving) {
            return Optional.of("leaving");
        }
        if (active.size() >= MAX_JOBS) {
            return Optional.of("queue is full");
        }
        if (submission.memoryTokens() > options.memoryTokens()) {
            return Optional.of("prompt is larger than the engine's memory");
        }
        if (!submission.streamId().isEmpty() && streams.containsKey(submission.streamId())) {
            return Optional.of("stream id was used before");
        }
        active.add(job);
        if (!submission.streamId().isEmpty()) {
            streams.put(submission.streamId(), job);
        }
        step(0, nowNanos);
        return Optional.empty();
    }

    Optional<EngineJob> find(String streamId) {
        return Optional.ofNullable(streams.get(streamId));
    }

    /**
     * Cancels a stream and returns its memory, unless a newer reader than {@code readerNumber} is attached: a host that
     * was frozen must not cancel a stream that another host has resumed. A reader number of 0 cancels always.
     */
    boolean cancel(String streamId, long readerNumber, long nowNanos) {
        EngineJob job = streams.get(streamId);
        if (job == null || (readerNumber != 0 && job.readerNumber() > readerNumber)) {
            return false;
        }
        job.fail("cancelled", nowNanos);
        remove(job);
        return true;
    }

    void release(HoldHandle handle, long nowNanos) {
        failJobsOf(handle, "hold was released", nowNanos);
        kvStates.remove(handle);
        memory.release(handle);
    }

    /** Whether a stream of this hold is being read. */
    boolean hasReader(HoldHandle handle) {
        return active.stream().anyMatch(job -> job.submission().handle().equals(handle) && job.hasReader());
    }

    Optional<KvState> kvState(HoldHandle handle) {
        return Optional.ofNullable(kvStates.get(handle));
    }

    void setKvState(HoldHandle handle, KvState state) {
        if (memory.holds(handle)) {
            kvStates.put(handle, state);
        }
    }

    /** Prefill tokens that the accepted jobs still need. */
    long backlogTokens() {
        return active.stream().mapToLong(EngineJob::prefillLeftTokens).sum();
    }

    long runningJobs() {
        return active.stream()
                .filter(job -> job.state() != EngineJob.State.WAITING)
                .count();
    }

    int acceptedJobs() {
        return active.size();
    }

    /** Runs one batch step with the given prefill budget. */
    void step(int prefillBudgetTokens, long nowNanos) {
        for (HoldHandle expired : memory.expire(nowNanos)) {
            kvStates.remove(expired);
            failJobsOf(expired, "hold expired", nowNanos);
        }
        startWaiting(nowNanos);
        if (prefillBudgetTokens > 0) {
            decodeAll(nowNanos);
            prefillAll(prefillBudgetTokens, nowNanos);
        }
        List.copyOf(active).forEach(EngineJob::notifyReader);
        List.copyOf(active).stream().filter(EngineJob::isOver).forEach(this::remove);
        streams.values()
                .removeIf(job -> job.isOver()
                        && nowNanos - job.finishedAtNanos() >= TimeUnit.MILLISECONDS.toNanos(KEEP_FINISHED_MS));
    }

    private void startWaiting(long nowNanos) {
        List<EngineJob> waiting = new ArrayList<>(active.stream()
                .filter(job -> job.state() == EngineJob.State.WAITING)
                .toList());
        waiting.sort(Comparator.comparingLong(job -> job.submission().orderMs()));
        for (EngineJob job : waiting) {
            EngineJob.Submission submission = job.submission();
            if (job.expiresInMs(nowNanos) == 0) {
                job.fail("expired in the queue", nowNanos);
                continue;
            }
            EngineMemory.Taken taken =
                    memory.take(submission.handle(), submission.memoryTokens(), job.expiresInMs(nowNanos), nowNanos);
            if (taken == EngineMemory.Taken.RELEASED) {
                job.fail("hold was released", nowNanos);
            }
            if (taken == EngineMemory.Taken.OK) {
                job.start();
            }
        }
    }

    private void decodeAll(long nowNanos) {
        for (EngineJob job : active) {
            if (job.state() == EngineJob.State.DECODING && job.generatedEnd() < gateTokens) {
                job.decode(nowNanos);
            }
        }
    }

    private void prefillAll(int budgetTokens, long nowNanos) {
        List<EngineJob> prefilling = new ArrayList<>(active.stream()
                .filter(job -> job.state() == EngineJob.State.PREFILLING)
                .toList());
        prefilling.sort(
                Comparator.<EngineJob>comparingLong(job -> job.submission().orderMs())
                        .thenComparingInt(EngineJob::prefillLeftTokens));
        int left = budgetTokens;
        for (EngineJob job : prefilling) {
            left -= job.prefill(left, nowNanos);
        }
    }

    private void failJobsOf(HoldHandle handle, String reason, long nowNanos) {
        for (EngineJob job : List.copyOf(active)) {
            if (job.submission().handle().equals(handle)) {
                job.fail(reason, nowNanos);
            }
        }
    }

    private void remove(EngineJob job) {
        active.remove(job);
        boolean isSegment = job.submission().streamId().isEmpty();
        if (!isSegment || job.state() == EngineJob.State.FAILED) {
            memory.release(job.submission().handle());
            kvStates.remove(job.submission().handle());
        }
    }
}
