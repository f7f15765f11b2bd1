package io.figspan.bench.faults;

/** Ways to relay the answers of prompts: the real one and naive ones. */
enum PromptScheme {
    /** {@code RequestStateMachine} and {@code ResumeTokenCodec} as they are. */
    FIGSPAN,
    /** The caller's request id selects the stream on a resume. */
    BY_REQUEST_ID,
    /** Parts are passed on as they arrive, whatever their offset. */
    APPENDS_PARTS,
    /** A request ends only when the engine ends it. */
    NO_DEADLINE
}
