package io.figspan.control.request;

import io.figspan.core.error.Problem;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.StreamId;

/** An action that {@link RequestStateMachine} asks its driver to carry out. */
public sealed interface RequestAction {
    /** Send the next part to the caller; {@code offset} is its index in the whole answer, from 0. */
    record SendPart(long offset, String text) implements RequestAction {}

    /** End the answer as complete. */
    record Complete() implements RequestAction {}

    /** Answer with a problem document; if the answer has begun, send it as the last event of the stream. */
    record SendProblem(Problem problem) implements RequestAction {}

    /** Ask the engine to resend the stream from {@code offset}, because an event in between was not received. */
    record ResumeStream(BackendIncarnation engine, StreamId stream, long offset) implements RequestAction {}

    /** Cancel the stream on the engine. */
    record CancelStream(BackendIncarnation engine, StreamId stream) implements RequestAction {}

    /** Cancel the stream on the engine unless another host has read it since this host last did. */
    record CancelIfUnread(BackendIncarnation engine, StreamId stream) implements RequestAction {}

    /** Release all holds of the request. */
    record ReleaseHolds() implements RequestAction {}
}
