package io.figspan.host.entry;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.StreamId;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;

/** Makes and checks the resume tokens of answer streams. */
final class StreamTokens {
    /** Where a stream continues. */
    record Position(BackendIncarnation engine, StreamId stream, int offset, RequestId request) {}

    private static final int MAX_CHARS = 1_024;
    private static final char SEPARATOR = '|';

    private final byte[] key;

    StreamTokens(byte[] key) {
        this.key = key.clone();
    }

    String encode(OrganisationId organisation, Position position) {
        String fields = position.engine().server().value()
                + SEPARATOR
                + position.engine().number()
                + SEPARATOR
                + position.stream()
                + SEPARATOR
                + position.offset()
                + SEPARATOR
                + position.request();
        return base64(fields) + "." + mac(organisation, fields);
    }

    /** Reads a token; refuses one that is altered, malformed or of another organisation. */
    Result<Position> decode(OrganisationId organisation, String token) {
        int dot = token == null || token.length() > MAX_CHARS ? -1 : token.indexOf('.');
        if (dot < 0) {
            return refused();
        }
        try {
            String fields = new String(Base64.getUrlDecoder().decode(token.substring(0, dot)), StandardCharsets.UTF_8);
            byte[] expected = mac(organisation, fields).getBytes(StandardCharsets.UTF_8);
            byte[] received = token.substring(dot + 1).getBytes(StandardCharsets.UTF_8);
            if (!MessageDigest.isEqual(expected, received)) {
                return refused();
            }
            List<String> parts = Splitter.on(SEPARATOR).splitToList(fields);
            BackendIncarnation engine =
                    new BackendIncarnation(BackendServerId.of(parts.get(0)), Long.parseLong(parts.get(1)));
            return Result.ok(new Position(
                    engine, StreamId.of(parts.get(2)), Integer.parseInt(parts.get(3)), RequestId.of(parts.get(4))));
        } catch (IllegalArgumentException e) {
            return refused();
        }
    }

    private String mac(OrganisationId organisation, String fields) {
        return Hashing.hmacSha256(key)
                .hashString(organisation.value() + "\n" + fields, StandardCharsets.UTF_8)
                .toString();
    }

    private static String base64(String text) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Result<Position> refused() {
        return Result.failed(
                Problem.notRun(ProblemKind.TOKEN_REFUSED, "the resume token is not one of this organisation"));
    }
}
