package io.figspan.control.request;

import io.figspan.core.error.Problem;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.StreamId;

/** What the driver of a prompt request has to do. */
public sealed interface RequestAction {
    /** Send the next part to the caller; {@code offset} counts the parts of the whole answer from 0. */
    record SendPart(long offset, String text) implements RequestAction {}

    /** Close the answer as complete. */
    record Complete() implements RequestAction {}

    /** Answer with a problem document, as the last event when the answer has begun. */
    record SendProblem(Problem problem) implements RequestAction {}

    /** Ask the engine to send the stream again from this position: an event was lost on the way. */
    record ResumeStream(BackendIncarnation engine, StreamId stream, long offset) implements RequestAction {}

    /** Tell the engine to stop; the answer is no longer wanted. */
    record CancelStream(BackendIncarnation engine, StreamId stream) implements RequestAction {}

    /** Tell the engine to stop unless another host has read the stream since this host last did. */
    record CancelIfUnread(BackendIncarnation engine, StreamId stream) implements RequestAction {}

    /** Release all holds of the request. */
    record ReleaseHolds() implements RequestAction {}
}
