package io.figspan.control.resume;

import io.figspan.control.token.SignedText;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.StreamId;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes resume tokens, sent as the {@code id:} of a server-sent event. The MAC also covers the
 * organisation and the request id; the token does not contain them, because the caller sends both in headers.
 */
public final class ResumeTokenCodec {
    private static final String CONTEXT = "figspan-resume-1";
    /** Every event carries a resume token, so the MAC is truncated to 128 bits to keep events short. */
    private static final int MAC_BYTES = 16;

    private static final int FIELD_COUNT = 5;

    private final SignedText signedText;

    public ResumeTokenCodec(TokenKeys keys) {
        this.signedText = new SignedText(keys, CONTEXT, MAC_BYTES);
    }

    public String encode(ResumeToken token, OrganisationId organisation, RequestId request) {
        List<String> fields = List.of(
                token.engine().server().value(),
                Long.toString(token.engine().number()),
                token.stream().value(),
                Long.toString(token.offset()),
                token.owner().toString());
        return signedText.encode(fields, associatedData(organisation, request));
    }

    /** Decodes a token; {@code tokenRefused} if it is forged, altered or from another organisation or request. */
    public Result<ResumeToken> decode(String text, OrganisationId organisation, RequestId request) {
        Optional<List<String>> fields = signedText.decode(text, associatedData(organisation, request));
        if (fields.isEmpty() || fields.get().size() != FIELD_COUNT) {
            return refused("resume token does not belong to this organisation and request");
        }
        try {
            return Result.ok(parse(fields.get()));
        } catch (FigspanException | NumberFormatException e) {
            return refused("resume token is malformed");
        }
    }

    /** Returns {@code streamGone} if the engine has restarted since the stream began, which ended its streams. */
    public static Result<ResumeToken> checkEngine(ResumeToken token, BackendIncarnation current) {
        if (token.engine().equals(current)) {
            return Result.ok(token);
        }
        return Result.failed(Problem.unknown(
                ProblemKind.STREAM_GONE,
                "engine " + token.engine().server() + " was restarted since the stream began"));
    }

    private static ResumeToken parse(List<String> fields) {
        return new ResumeToken(
                new BackendIncarnation(BackendServerId.of(fields.get(0)), Long.parseLong(fields.get(1))),
                StreamId.of(fields.get(2)),
                Long.parseLong(fields.get(3)),
                HostIncarnation.parse(fields.get(4)));
    }

    private static String associatedData(OrganisationId organisation, RequestId request) {
        return organisation + "|" + request;
    }

    private static Result<ResumeToken> refused(String detail) {
        return Result.failed(Problem.unknown(ProblemKind.TOKEN_REFUSED, detail));
    }
}
