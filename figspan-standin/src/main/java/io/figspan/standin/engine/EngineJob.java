package io.figspan.standin.engine;

import io.figspan.core.id.HoldHandle;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One prompt, or one segment of a prompt, in an engine's batch. */
final class EngineJob {
    /** Where a job stands. */
    enum State {
        WAITING,
        PREFILLING,
        DECODING,
        FINISHED,
        FAILED
    }

    /** Reads the tokens of a job as far as its connection takes them. */
    interface Reader {
        /** Called after each change; the reader writes what it can. */
        void onProgress(EngineJob job);

        /** Called when a newer reader took over. */
        void onSuperseded();

        /** Whether the reader's connection is open. */
        boolean isOpen();
    }

    /**
     * What a job was submitted with.
     *
     * @param streamId empty for a segment
     * @param orderMs place in the order of service; lower comes first
     * @param digest digest of the whole prompt
     * @param firstOffset offset of the first token to generate
     * @param maxTokens end offset of the answer; 0 for a segment
     */
    record Submission(
            String streamId,
            HoldHandle handle,
            long orderMs,
            long digest,
            int prefillTokens,
            long memoryTokens,
            int firstOffset,
            int maxTokens,
            long expiresInMs) {}

    private final Submission submission;
    private State state = State.WAITING;
    private int prefillLeftTokens;
    private int generatedEnd;
    private long readerNumber;
    private Optional<Reader> reader = Optional.empty();
    private String failure = "";
    private long finishedAtNanos;
    private final long expiresAtNanos;

    EngineJob(Submission submission, int cachedTokens, long nowNanos) {
        this.submission = submission;
        this.expiresAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(submission.expiresInMs());
        this.prefillLeftTokens = Math.max(0, submission.prefillTokens() - cachedTokens);
        this.generatedEnd = submission.firstOffset();
    }

    Submission submission() {
        return submission;
    }

    State state() {
        return state;
    }

    boolean isOver() {
        return state == State.FINISHED || state == State.FAILED;
    }

    int prefillLeftTokens() {
        return prefillLeftTokens;
    }

    /** Offset after the last generated token. */
    int generatedEnd() {
        return generatedEnd;
    }

    /** Time left until the hold of this job expires; 0 when it has. */
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

    /** Prefills at most {@code budgetTokens} and returns how many it used. */
    int prefill(int budgetTokens, long nowNanos) {
        int used = Math.min(budgetTokens, prefillLeftTokens);
        prefillLeftTokens -= used;
        if (prefillLeftTokens == 0) {
            state = State.DECODING;
            finishIfComplete(nowNanos);
        }
        return used;
    }

    void decode(long nowNanos) {
        generatedEnd++;
        finishIfComplete(nowNanos);
    }

    void fail(String reason, long nowNanos) {
        if (isOver()) {
            return;
        }
        failure = reason;
        state = State.FAILED;
        finishedAtNanos = nowNanos;
        notifyReader();
    }

    /** Attaches a reader in place of the one before it and returns the new reader's number. */
    long attach(Reader newReader) {
        reader.ifPresent(Reader::onSuperseded);
        reader = Optional.of(newReader);
        return ++readerNumber;
    }

    /** Number of the reader that attached last; 0 when there was none. */
    long readerNumber() {
        return readerNumber;
    }

    boolean hasReader() {
        return reader.filter(Reader::isOpen).isPresent();
    }

    void notifyReader() {
        reader.ifPresent(attached -> attached.onProgress(this));
    }

    private void finishIfComplete(long nowNanos) {
        if (generatedEnd >= submission.maxTokens()) {
            state = State.FINISHED;
            finishedAtNanos = nowNanos;
        }
    }
}
