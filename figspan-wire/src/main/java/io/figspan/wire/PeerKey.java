package io.figspan.wire;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** HMAC key that all hosts share, from the host file. {@link #toString} does not reveal the key. */
public final class PeerKey {
    /** Shorter keys can be guessed; 16 bytes match the length of the truncated HMAC. */
    public static final int MIN_KEY_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec spec;

    private PeerKey(SecretKeySpec spec) {
        this.spec = spec;
    }

    public static PeerKey of(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "peer key has " + key.length + " bytes, fewer than " + MIN_KEY_BYTES,
                    Location.of("peer key"));
        }
        return new PeerKey(new SecretKeySpec(key, ALGORITHM));
    }

    Mac newMac() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(spec);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new FigspanException(
                    ProblemKind.INTERNAL,
                    "HMAC-SHA-256 is not available: " + e.getMessage(),
                    Location.of("peer key"),
                    e);
        }
    }

    @Override
    public String toString() {
        return "PeerKey(hidden)";
    }
}
