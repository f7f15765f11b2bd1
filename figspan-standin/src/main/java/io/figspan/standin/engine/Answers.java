package io.figspan.standin.engine;

/**
 * Deterministic answers of the stand-in engines. The digest of a prompt (FNV-1a, 64 bits, over its characters) can
 * be computed segment by segment, and each answer token is a function of the digest and the token's offset, so a client
 * can check that it got the whole answer to its own request.
 */
public final class Answers {
    /** Digest of the empty prompt: the FNV-1a offset basis. */
    public static final long EMPTY_DIGEST = 0xcbf29ce484222325L;

    /** Characters per token in the stand-ins' tokenizer. */
    public static final int CHARS_PER_TOKEN = 4;

    private static final long FNV_PRIME = 0x100000001b3L;

    private Answers() {}

    /** Digest of a prompt whose first part has the digest {@code digest} and whose rest is {@code text}. */
    public static long extend(long digest, String text) {
        long extended = digest;
        for (int i = 0; i < text.length(); i++) {
            extended = (extended ^ text.charAt(i)) * FNV_PRIME;
        }
        return extended;
    }

    /** Number of tokens in a text, rounded up. */
    public static int tokens(String text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** Answer token at an offset: a space and 8 hexadecimal digits. */
    public static String tokenAt(long digest, int offset) {
        long mixed = (digest + offset * 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        String hex = Long.toHexString(0x100000000L | ((mixed ^ (mixed >>> 32)) & 0xffffffffL));
        return " " + hex.substring(1);
    }

    /** The whole answer to a prompt. */
    public static String answer(String prompt, int maxTokens) {
        long digest = extend(EMPTY_DIGEST, prompt);
        StringBuilder answer = new StringBuilder();
        for (int offset = 0; offset < maxTokens; offset++) {
            answer.append(tokenAt(digest, offset));
        }
        return answer.toString();
    }
}
