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
 * Continuous-batching scheduler of one engine. Each step generates one token for each decoding job, then spends the
 * prefill budget on the prefilling jobs in the order of their scheduling keys. Not thread-safe.
 */
final class EngineCore {
    /** Maximum number of waiting and running jobs; further jobs are refused. */
    static final int MAX_JOBS = 256;

    /** Time for which a finished stream stays readable, so that a caller can resume at the end of its answer. */
    static final long FINISHED_STREAM_RETENTION_MS = 30_000;

    /** KV cache contents of a hold: digest and length of the prompt prefix that was prefilled or imported. */
    record KvState(long digest, long tokens) {}

    private final EngineOptions options;
    private final EngineMemory memory;
    private final PrefixCache cache;
    private final Map<String, EngineJob> streams = new LinkedHashMap<>();
    private final List<EngineJob> activeJobs = new ArrayList<>();
    private final Map<HoldHandle, KvState> kvStates = new LinkedHashMap<>();
    private boolean leaving;
    private int generationLimit = Integer.MAX_VALUE;

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

    /** Pauses the generation of each answer at this offset until the limit is raised. */
    void setGenerationLimit(int newGenerationLimit) {
        generationLimit = newGenerationLimit;
    }

    /** Accepts a job, or returns the reason why it is refused. */
    Optional<String> submit(EngineJob job, long nowNanos) {
        EngineJob.Submission submission = job.submission();
        if (leaving) {
            return Optional.of("leaving");
        }
        if (activeJobs.size() >= MAX_JOBS) {
            return Optional.of("queue is full");
        }
        if (submission.memoryTokens() > options.memoryTokens()) {
            return Optional.of("prompt is larger than the engine's memory");
        }
        if (!submission.streamId().isEmpty() && streams.containsKey(submission.streamId())) {
            return Optional.of("stream id was used before");
        }
        activeJobs.add(job);
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
     * Cancels a stream and releases its memory, unless a reader newer than {@code readerNumber} is attached: a host
     * that continues after a process pause must not cancel a stream that another host has resumed. With the number 0
     * the stream is always cancelled.
     *
     * @return whether the stream was cancelled
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

    /** Returns whether a job of this hold has a reader with an open connection. */
    boolean hasReader(HoldHandle handle) {
        return activeJobs.stream().anyMatch(job -> job.submission().handle().equals(handle) && job.hasReader());
    }

    Optional<KvState> kvState(HoldHandle handle) {
        return Optional.ofNullable(kvStates.get(handle));
    }

    void setKvState(HoldHandle handle, KvState state) {
        if (memory.hasHold(handle)) {
            kvStates.put(handle, state);
        }
    }

    /** Returns the number of tokens that the accepted jobs have yet to prefill. */
    long backlogTokens() {
        return activeJobs.stream().mapToLong(EngineJob::remainingPrefillTokens).sum();
    }

    long runningJobs() {
        return activeJobs.stream()
                .filter(job -> job.state() != EngineJob.State.WAITING)
                .count();
    }

    int acceptedJobs() {
        return activeJobs.size();
    }

    /**
     * Runs one batch step with the given prefill budget. With a budget of 0 it only expires holds, starts waiting jobs
     * and removes completed ones.
     */
    void step(int prefillBudgetTokens, long nowNanos) {
        for (HoldHandle expired : memory.expire(nowNanos)) {
            kvStates.remove(expired);
            failJobsOf(expired, "hold expired", nowNanos);
        }
        startWaitingJobs(nowNanos);
        if (prefillBudgetTokens > 0) {
            decodeJobs(nowNanos);
            prefillJobs(prefillBudgetTokens, nowNanos);
        }
        List.copyOf(activeJobs).forEach(EngineJob::notifyReader);
        List.copyOf(activeJobs).stream().filter(EngineJob::isTerminal).forEach(this::remove);
        streams.values()
                .removeIf(job -> job.isTerminal()
                        && nowNanos - job.finishedAtNanos()
                                >= TimeUnit.MILLISECONDS.toNanos(FINISHED_STREAM_RETENTION_MS));
    }

    private void startWaitingJobs(long nowNanos) {
        List<EngineJob> waiting = new ArrayList<>(activeJobs.stream()
                .filter(job -> job.state() == EngineJob.State.WAITING)
                .toList());
        waiting.sort(Comparator.comparingLong(job -> job.submission().schedulingKeyMs()));
        for (EngineJob job : waiting) {
            EngineJob.Submission submission = job.submission();
            if (job.expiresInMs(nowNanos) == 0) {
                job.fail("expired in the queue", nowNanos);
                continue;
            }
            EngineMemory.AllocationResult result = memory.allocate(
                    submission.handle(), submission.memoryTokens(), job.expiresInMs(nowNanos), nowNanos);
            if (result == EngineMemory.AllocationResult.RELEASED) {
                job.fail("hold was released", nowNanos);
            }
            if (result == EngineMemory.AllocationResult.OK) {
                job.start();
            }
        }
    }

    private void decodeJobs(long nowNanos) {
        for (EngineJob job : activeJobs) {
            if (job.state() == EngineJob.State.DECODING && job.generatedEndOffset() < generationLimit) {
                job.decode(nowNanos);
            }
        }
    }

    private void prefillJobs(int budgetTokens, long nowNanos) {
        List<EngineJob> prefilling = new ArrayList<>(activeJobs.stream()
                .filter(job -> job.state() == EngineJob.State.PREFILLING)
                .toList());
        prefilling.sort(
                Comparator.<EngineJob>comparingLong(job -> job.submission().schedulingKeyMs())
                        .thenComparingInt(EngineJob::remainingPrefillTokens));
        int remainingTokens = budgetTokens;
        for (EngineJob job : prefilling) {
            remainingTokens -= job.prefill(remainingTokens, nowNanos);
        }
    }

    private void failJobsOf(HoldHandle handle, String reason, long nowNanos) {
        for (EngineJob job : List.copyOf(activeJobs)) {
            if (job.submission().handle().equals(handle)) {
                job.fail(reason, nowNanos);
            }
        }
    }

    private void remove(EngineJob job) {
        activeJobs.remove(job);
        boolean isSegment = job.submission().streamId().isEmpty();
        if (!isSegment || job.state() == EngineJob.State.FAILED) {
            memory.release(job.submission().handle());
            kvStates.remove(job.submission().handle());
        }
    }
}
