package io.figspan.cli.caller;

/**
 * Outcome of one prompt as its caller saw it.
 *
 * @param firstTokenNanos time to the first token; 0 when there was none
 * @param detail kind of the problem, or what was wrong with the answer
 */
record PromptResult(
        int tokens, Kind kind, long firstTokenNanos, long totalNanos, int resumes, int restarts, String detail) {
    /** How a prompt ended. */
    enum Kind {
        /** The whole right answer arrived. */
        ANSWERED,
        /** figspan refused it or gave up, and said so. */
        REFUSED,
        /** The answer was not the one to this prompt. */
        WRONG,
        /** Neither an answer nor a refusal arrived in time. */
        LOST
    }
}
