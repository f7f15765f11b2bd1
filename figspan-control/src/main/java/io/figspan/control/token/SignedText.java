package io.figspan.control.token;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * Text form of a token: base64url of the fields joined by '|', a dot, and base64url of the MAC. The MAC also covers a
 * context, which separates token kinds that share a key, and bound values that the token itself does not carry.
 */
public final class SignedText {
    /** Longest token accepted, in characters; bounds the work that one header value can cause. */
    static final int MAX_LENGTH_CHARS = 1_536;

    private static final char FIELD_SEPARATOR = '|';
    private static final Splitter FIELDS = Splitter.on(FIELD_SEPARATOR);
    private static final Joiner JOINER = Joiner.on(FIELD_SEPARATOR);

    private final TokenKeys keys;
    private final String context;
    private final int macBytes;

    /** {@code macBytes} is the length to which the HMAC-SHA-256 is cut: 16 to 32. */
    public SignedText(TokenKeys keys, String context, int macBytes) {
        this.keys = keys;
        this.context = context;
        this.macBytes = macBytes;
    }

    /** Encodes fields that contain no '|'; {@code bound} is covered by the MAC but not carried. */
    public String encode(List<String> fields, String bound) {
        byte[] payload = JOINER.join(fields).getBytes(StandardCharsets.UTF_8);
        Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
        return encoder.encodeToString(payload)
                + "."
                + encoder.encodeToString(keys.sign(message(payload, bound), macBytes));
    }

    /** The fields, or empty when any character differs from what {@link #encode} wrote for the same bound value. */
    public Optional<List<String>> decode(String text, String bound) {
        if (text == null || text.length() > MAX_LENGTH_CHARS) {
            return Optional.empty();
        }
        int separator = text.indexOf('.');
        if (separator < 0) {
            return Optional.empty();
        }
        Optional<byte[]> payload = bytes(text.substring(0, separator));
        Optional<byte[]> mac = bytes(text.substring(separator + 1));
        if (payload.isEmpty() || mac.isEmpty() || mac.get().length != macBytes) {
            return Optional.empty();
        }
        if (!keys.verify(message(payload.get(), bound), mac.get())) {
            return Optional.empty();
        }
        return Optional.of(FIELDS.splitToList(new String(payload.get(), StandardCharsets.UTF_8)));
    }

    private byte[] message(byte[] payload, String bound) {
        byte[] prefix = (context + "\n" + bound + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] message = new byte[prefix.length + payload.length];
        System.arraycopy(prefix, 0, message, 0, prefix.length);
        System.arraycopy(payload, 0, message, prefix.length, payload.length);
        return message;
    }

    /** Refuses a second text for the same bytes, which Base64 allows in the unused bits of the last character. */
    private static Optional<byte[]> bytes(String text) {
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
