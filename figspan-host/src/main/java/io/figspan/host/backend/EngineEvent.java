package io.figspan.host.backend;

/** What an engine sends on an answer stream. */
public sealed interface EngineEvent {
    /** The engine took the prompt; {@code readerNumber} identifies this connection in a later cancel. */
    record Opened(long readerNumber) implements EngineEvent {}

    /** A sign of life without a token. */
    record Heartbeat() implements EngineEvent {}

    /** One token of the stream {@code stream}. */
    record Token(String stream, int offset, String text) implements EngineEvent {}

    /** End of the stream; {@code error} is empty when the answer is complete. */
    record Ended(String stream, int offset, boolean complete, String error) implements EngineEvent {}
}
