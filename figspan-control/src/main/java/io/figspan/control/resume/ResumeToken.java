package io.figspan.control.resume;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StreamId;

/**
 * Position up to which a caller has received one stream of one engine process.
 *
 * @param offset number of events received, including the one that carries this token
 * @param owner host process that started the stream
 */
public record ResumeToken(BackendIncarnation engine, StreamId stream, long offset, HostIncarnation owner) {
    public ResumeToken {
        if (offset < 0) {
            throw new FigspanException(ProblemKind.INVALID_VALUE, "offset is negative", Location.of("resume token"));
        }
    }

    public ResumeToken withOffset(long newOffset) {
        return new ResumeToken(engine, stream, newOffset, owner);
    }
}
