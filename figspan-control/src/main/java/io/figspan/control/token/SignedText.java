package io.figspan.control.token;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and verifies tokens: base64url of the fields joined by '|', a dot, and base64url of the MAC. The MAC also
 * covers a context, which separates kinds of tokens that share a key, and associated data that is not in the token.
 */
public final class SignedText {
    /** Longest token accepted, in characters; bounds the work for one header value. */
    static final int MAX_LENGTH_CHARS = 1_536;

    private static final char FIELD_SEPARATOR = '|';
    private static final Splitter FIELDS = Splitter.on(FIELD_SEPARATOR);
    private static final Joiner JOINER = Joiner.on(FIELD_SEPARATOR);

    private final TokenKeys keys;
    private final String context;
    private final int macBytes;

    /** {@code macBytes} is the length in bytes to which the HMAC-SHA-256 is truncated: 16 to 32. */
    public SignedText(TokenKeys keys, String context, int macBytes) {
        this.keys = keys;
        this.context = context;
        this.macBytes = macBytes;
    }

    /** Encodes fields that contain no '|'; the token is authenticated together with {@code associatedData}. */
    public String encode(List<String> fields, String associatedData) {
        byte[] payload = JOINER.join(fields).getBytes(StandardCharsets.UTF_8);
        Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
        return encoder.encodeToString(payload)
                + "."
                + encoder.encodeToString(keys.sign(macInput(payload, associatedData), macBytes));
    }

    /** Returns the fields, or empty unless {@link #encode} produced exactly this text for the same associated data. */
    public Optional<List<String>> decode(String text, String associatedData) {
        if (text == null || text.length() > MAX_LENGTH_CHARS) {
            return Optional.empty();
        }
        int separator = text.indexOf('.');
        if (separator < 0) {
            return Optional.empty();
        }
        Optional<byte[]> payload = decodeCanonical(text.substring(0, separator));
        Optional<byte[]> mac = decodeCanonical(text.substring(separator + 1));
        if (payload.isEmpty() || mac.isEmpty() || mac.get().length != macBytes) {
            return Optional.empty();
        }
        if (!keys.verify(macInput(payload.get(), associatedData), mac.get())) {
            return Optional.empty();
        }
        return Optional.of(FIELDS.splitToList(new String(payload.get(), StandardCharsets.UTF_8)));
    }

    private byte[] macInput(byte[] payload, String associatedData) {
        byte[] prefix = (context + "\n" + associatedData + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] message = new byte[prefix.length + payload.length];
        System.arraycopy(prefix, 0, message, 0, prefix.length);
        System.arraycopy(payload, 0, message, prefix.length, payload.length);
        return message;
    }

    /** Accepts only canonical Base64; the unused bits of the last character allow other texts for the same bytes. */
    private static Optional<byte[]> decodeCanonical(String text) {
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(text);
            boolean canonical = Base64.getUrlEncoder()
                    .withoutPadding()
                    .encodeToString(bytes)
                    .equals(text);
            return canonical ? Optional.of(bytes) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
