package io.figspan.wire.http;

/** Classes of octets in HTTP messages (RFC 9110, section 5.6; RFC 5234, appendix B.1). */
final class Octets {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private Octets() {}

    static boolean isDigit(byte octet) {
        return octet >= '0' && octet <= '9';
    }

    /** Whether the octet may stand in a token, such as a field name. */
    static boolean isTokenCharacter(byte octet) {
        return isDigit(octet)
                || (octet >= 'a' && octet <= 'z')
                || (octet >= 'A' && octet <= 'Z')
                || TOKEN_SYMBOLS.indexOf(octet) >= 0;
    }

    /** Whether the octet may stand in a field value or a reason phrase; those from 0x80 are opaque data. */
    static boolean isText(byte octet) {
        return octet < 0 || octet == '\t' || (octet >= ' ' && octet != 0x7F);
    }

    static boolean isBlank(byte octet) {
        return octet == ' ' || octet == '\t';
    }

    /** Whether all octets from {@code first} are {@linkplain #isText text}. */
    static boolean isText(byte[] octets, int first) {
        for (int index = first; index < octets.length; index++) {
            if (!isText(octets[index])) {
                return false;
            }
        }
        return true;
    }
}
