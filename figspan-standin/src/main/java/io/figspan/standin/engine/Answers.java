package io.figspan.standin.engine;

/**
 * Generates the deterministic answers of the stand-in engines. The digest of a prompt is a 64-bit FNV-1a hash over its
 * characters and can be computed segment by segment. Each answer token depends only on the digest and the token's
 * offset, so a client can verify that it received the complete answer to its own request.
 */
public final class Answers {
    /** Digest of the empty prompt: the FNV-1a offset basis. */
    public static final long EMPTY_DIGEST = 0xcbf29ce484222325L;

    /** Number of characters that the stand-in tokenizer counts as one token. */
    public static final int CHARS_PER_TOKEN = 4;

    private static final long FNV_PRIME = 0x100000001b3L;

    private Answers() {}

    /** Returns the digest of the prompt made of a prefix with the digest {@code digest} followed by {@code text}. */
    public static long extendDigest(long digest, String text) {
        long extended = digest;
        for (int i = 0; i < text.length(); i++) {
            extended = (extended ^ text.charAt(i)) * FNV_PRIME;
        }
        return extended;
    }

    /** Returns the number of tokens in a text; a partial last token counts as one. */
    public static int countTokens(String text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** Returns the answer token at an offset: a space followed by 8 hexadecimal digits. */
    public static String tokenAt(long digest, int offset) {
        long mixed = (digest + offset * 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        String hex = Long.toHexString(0x100000000L | ((mixed ^ (mixed >>> 32)) & 0xffffffffL));
        return " " + hex.substring(1);
    }

    /** Returns the complete answer to a prompt. */
    public static String answer(String prompt, int maxTokens) {
        long digest = extendDigest(EMPTY_DIGEST, prompt);
        StringBuilder answer = new StringBuilder();
        for (int offset = 0; offset < maxTokens; offset++) {
            answer.append(tokenAt(digest, offset));
        }
        return answer.toString();
    }
}
