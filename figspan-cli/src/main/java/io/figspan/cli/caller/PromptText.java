package io.figspan.cli.caller;

/** Prompt texts of a given length; each seed gives another text. */
final class PromptText {
    /** Characters per token of the stand-in engines. */
    private static final int CHARS_PER_TOKEN = 4;

    private PromptText() {}

    /** A text of exactly {@code tokens} tokens. */
    static String of(long seed, int tokens) {
        int chars = tokens * CHARS_PER_TOKEN;
        StringBuilder text = new StringBuilder(chars + 32);
        long state = seed * 0x9e3779b97f4a7c15L + 1;
        while (text.length() < chars) {
            state = state * 6364136223846793005L + 1442695040888963407L;
            text.append(Long.toString(state >>> 20, 36)).append(' ');
        }
        text.setLength(chars);
        return text.toString();
    }
}
