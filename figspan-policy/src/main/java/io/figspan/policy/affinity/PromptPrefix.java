package io.figspan.policy.affinity;

import java.util.ArrayList;
import java.util.List;

/**
 * The leading parts of a prompt that other prompts may share. An engine can reuse a part only after the same parts, so
 * each section is identified by a hash of its part and all parts before it.
 */
public record PromptPrefix(List<Section> sections) {
    /** Limits the work for each request; further parts are ignored. */
    public static final int MAX_PARTS = 64;

    public static final PromptPrefix EMPTY = new PromptPrefix(List.of());

    /** A part at its place after the parts before it. */
    public record Section(long hash, long tokens) {}

    public PromptPrefix {
        sections = List.copyOf(sections);
    }

    public static PromptPrefix of(List<PromptPart> parts) {
        List<Section> sections = new ArrayList<>();
        long hash = 0;
        for (PromptPart part : parts.subList(0, Math.min(MAX_PARTS, parts.size()))) {
            hash = mix(hash, part.id().value());
            sections.add(new Section(hash, part.tokens()));
        }
        return sections.isEmpty() ? EMPTY : new PromptPrefix(sections);
    }

    /** Continues the 64-bit FNV-1a hash; a collision only causes a wrong estimate. */
    private static long mix(long previous, String text) {
        long hash = previous ^ 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    public boolean isEmpty() {
        return sections.isEmpty();
    }

    public long tokens() {
        return sections.stream().mapToLong(Section::tokens).sum();
    }
}
