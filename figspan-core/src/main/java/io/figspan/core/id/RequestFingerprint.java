package io.figspan.core.id;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Identifies requests that are the same to a backend server: of one organisation, with the same method, target and
 * body. Headers don't count, since the attempt id differs each time.
 *
 * @param organisation empty for requests without a key, which form a group of their own
 * @param digest 128 bits of a hash that is not cryptographic, in hexadecimal; an organisation that provokes collisions
 *     affects its own requests only
 */
public record RequestFingerprint(Optional<OrganisationId> organisation, String digest)
        implements Comparable<RequestFingerprint> {
    private static final Pattern DIGEST_FORMAT = Pattern.compile("[0-9a-f]{32}");

    private static final Comparator<RequestFingerprint> ORDER = Comparator.comparing(RequestFingerprint::digest)
            .thenComparing(fingerprint ->
                    fingerprint.organisation().map(OrganisationId::value).orElse(""));

    public RequestFingerprint {
        if (!DIGEST_FORMAT.matcher(digest).matches()) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "request fingerprint has no 32 hexadecimal digits",
                    Location.of("request fingerprint"));
        }
    }

    /**
     * Computes a fingerprint.
     *
     * @param target path and query
     * @param body the buffers of the body in their order, whose positions move to their ends
     */
    public static RequestFingerprint of(
            Optional<OrganisationId> organisation, String method, String target, ByteBuffer... body) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        putWithLength(hasher, method);
        putWithLength(hasher, target);
        for (ByteBuffer buffer : body) {
            hasher.putBytes(buffer);
        }
        return new RequestFingerprint(organisation, hasher.hash().toString());
    }

    /** The length keeps the boundaries between the fields. */
    private static void putWithLength(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }

    @Override
    public int compareTo(RequestFingerprint other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return organisation.map(id -> id + "/" + digest).orElse(digest);
    }
}
