package io.figspan.gateway.backend;

/**
 * Outcome of a request to an engine.
 *
 * @param reason why the engine did not do what was requested; empty if it did
 */
public record EngineOutcome(Kind kind, String reason) {
    private static final EngineOutcome DONE = new EngineOutcome(Kind.DONE, "");

    /** What is known of the request. */
    public enum Kind {
        /** The engine did what was requested. */
        DONE,
        /** The engine responded that it did not do what was requested, and that it does not hold the memory. */
        REFUSED,
        /** The engine rejected the request, for example because it is full; what it holds already stays held. */
        REJECTED,
        /** No response was received; the engine may or may not have done what was requested. */
        NO_RESPONSE
    }

    public static EngineOutcome done() {
        return DONE;
    }

    public static EngineOutcome refused(String reason) {
        return new EngineOutcome(Kind.REFUSED, reason);
    }

    public static EngineOutcome rejected(String reason) {
        return new EngineOutcome(Kind.REJECTED, reason);
    }

    public static EngineOutcome noResponse(String reason) {
        return new EngineOutcome(Kind.NO_RESPONSE, reason);
    }

    public boolean isDone() {
        return kind == Kind.DONE;
    }
}
