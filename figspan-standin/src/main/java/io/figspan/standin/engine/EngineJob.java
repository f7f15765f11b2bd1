package io.figspan.standin.engine;

import io.figspan.core.id.HoldHandle;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Job in an engine's batch: a prompt with its answer, or the prefill of one segment of a prompt. */
final class EngineJob {
    enum State {
        WAITING,
        PREFILLING,
        DECODING,
        FINISHED,
        FAILED
    }

    /** Receives the progress of a job. A job has at most one current reader. */
    interface Reader {
        /** Called after each change of the job; the reader writes as much as its connection accepts. */
        void onProgress(EngineJob job);

        /** Called when a newer reader replaces this one. */
        void onSuperseded();

        /** Returns whether the reader's connection is open. */
        boolean isOpen();
    }

    /**
     * Parameters of a job.
     *
     * @param streamId empty for a segment
     * @param schedulingKeyMs scheduling key; jobs with a lower value are served first
     * @param digest digest of the whole prompt
     * @param firstOffset offset of the first token to generate
     * @param maxTokens offset at which the answer ends; 0 for a segment
     */
    record Submission(
            String streamId,
            HoldHandle handle,
            long schedulingKeyMs,
            long digest,
            int prefillTokens,
            long memoryTokens,
            int firstOffset,
            int maxTokens,
            long expiresInMs) {}

    private final Submission submission;
    private State state = State.WAITING;
    private int remainingPrefillTokens;
    private int generatedEndOffset;
    private long readerNumber;
    private Optional<Reader> reader = Optional.empty();
    private String failure = "";
    private long finishedAtNanos;
    private final long expiresAtNanos;

    EngineJob(Submission submission, int cachedTokens, long nowNanos) {
        this.submission = submission;
        this.expiresAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(submission.expiresInMs());
        this.remainingPrefillTokens = Math.max(0, submission.prefillTokens() - cachedTokens);
        this.generatedEndOffset = submission.firstOffset();
    }

    Submission submission() {
        return submission;
    }

    State state() {
        return state;
    }

    boolean isTerminal() {
        return state == State.FINISHED || state == State.FAILED;
    }

    int remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    /** Returns the offset after the last generated token. */
    int generatedEndOffset() {
        return generatedEndOffset;
    }

    /** Returns the milliseconds until the job's hold expires; 0 if it has expired. */
    long expiresInMs(long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(expiresAtNanos - nowNanos));
    }

    String failure() {
        return failure;
    }

    long finishedAtNanos() {
        return finishedAtNanos;
    }

    String tokenAt(int offset) {
        return Answers.tokenAt(submission.digest(), offset);
    }

    void start() {
        state = State.PREFILLING;
    }

    /** Prefills at most {@code budgetTokens} tokens and returns the number of tokens prefilled. */
    int prefill(int budgetTokens, long nowNanos) {
        int used = Math.min(budgetTokens, remainingPrefillTokens);
        remainingPrefillTokens -= used;
        if (remainingPrefillTokens == 0) {
            state = State.DECODING;
            finishIfAnswerIsComplete(nowNanos);
        }
        return used;
    }

    void decode(long nowNanos) {
        generatedEndOffset++;
        finishIfAnswerIsComplete(nowNanos);
    }

    void fail(String reason, long nowNanos) {
        if (isTerminal()) {
            return;
        }
        failure = reason;
        state = State.FAILED;
        finishedAtNanos = nowNanos;
        notifyReader();
    }

    /** Attaches a reader, which replaces the previous one, and returns the number of the new reader. */
    long attach(Reader newReader) {
        reader.ifPresent(Reader::onSuperseded);
        reader = Optional.of(newReader);
        return ++readerNumber;
    }

    /** Returns the number of the reader attached last; 0 if none was attached. */
    long readerNumber() {
        return readerNumber;
    }

    boolean hasReader() {
        return reader.filter(Reader::isOpen).isPresent();
    }

    void notifyReader() {
        reader.ifPresent(attached -> attached.onProgress(this));
    }

    private void finishIfAnswerIsComplete(long nowNanos) {
        if (generatedEndOffset >= submission.maxTokens()) {
            state = State.FINISHED;
            finishedAtNanos = nowNanos;
        }
    }
}
