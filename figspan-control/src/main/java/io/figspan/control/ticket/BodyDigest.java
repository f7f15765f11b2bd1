package io.figspan.control.ticket;

import com.google.common.hash.Hashing;

/** SHA-256 digest of a call's body, in hexadecimal. */
public record BodyDigest(String hex) {
    public static BodyDigest of(byte[] body) {
        return new BodyDigest(Hashing.sha256().hashBytes(body).toString());
    }
}
