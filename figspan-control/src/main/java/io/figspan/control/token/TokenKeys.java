package io.figspan.control.token;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * HMAC keys of tokens. The first key signs and every key verifies, so that after a key rotation tokens signed with the
 * previous key stay valid while the settings still list it.
 */
public final class TokenKeys {
    /** Shortest key accepted, in bytes; a shorter key is easier to guess than the truncated MAC. */
    public static final int MIN_KEY_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final List<SecretKeySpec> keys;

    private TokenKeys(List<SecretKeySpec> keys) {
        this.keys = keys;
    }

    /** Creates keys from the signing key, followed by the keys that only verify. */
    public static TokenKeys of(byte[]... keys) {
        if (keys.length == 0) {
            throw invalid("no token key is set");
        }
        List<SecretKeySpec> specs = new ArrayList<>();
        for (byte[] key : keys) {
            if (key.length < MIN_KEY_BYTES) {
                throw invalid("token key has " + key.length + " bytes; at least " + MIN_KEY_BYTES + " are needed");
            }
            specs.add(new SecretKeySpec(key, ALGORITHM));
        }
        return new TokenKeys(List.copyOf(specs));
    }

    /** As {@link #of}, from the UTF-8 bytes of the texts in the settings. */
    public static TokenKeys ofText(String... keys) {
        return of(Arrays.stream(keys)
                .map(key -> key.getBytes(StandardCharsets.UTF_8))
                .toArray(byte[][]::new));
    }

    /** HMAC-SHA-256 (RFC 2104) of {@code message} under the signing key, truncated to {@code macBytes} bytes. */
    byte[] sign(byte[] message, int macBytes) {
        return mac(keys.get(0), message, macBytes);
    }

    /** Returns whether {@code mac} is valid under any key; compares in constant time. */
    boolean verify(byte[] message, byte[] mac) {
        boolean matches = false;
        for (SecretKeySpec key : keys) {
            matches |= MessageDigest.isEqual(mac(key, message, mac.length), mac);
        }
        return matches;
    }

    private static byte[] mac(SecretKeySpec key, byte[] message, int macBytes) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return Arrays.copyOf(mac.doFinal(message), macBytes);
        } catch (GeneralSecurityException e) {
            throw new FigspanException(
                    ProblemKind.INTERNAL, "HMAC-SHA-256 is not available", Location.of("token keys"), e);
        }
    }

    private static FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.INVALID_VALUE, detail, Location.of("token keys"));
    }
}
