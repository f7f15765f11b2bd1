package io.figspan.cli.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What a load run sends: prompts of each length and orders, in a seeded random order. Long prompts are the rarer the
 * longer they are.
 */
record LoadPlan(List<Item> items) {
    /** One thing to send; {@code promptTokens} is 0 for an order. */
    record Item(int number, int promptTokens) {
        boolean isOrder() {
            return promptTokens == 0;
        }
    }

    /** Lengths of prompts with how often each is sent, out of 100. */
    enum LengthClass {
        TOKENS_1K(1_000, 50),
        TOKENS_4K(4_000, 22),
        TOKENS_16K(16_000, 15),
        TOKENS_64K(64_000, 8),
        TOKENS_250K(250_000, 3),
        TOKENS_1M(1_000_000, 2);

        private final int tokens;
        private final int percent;

        LengthClass(int tokens, int percent) {
            this.tokens = tokens;
            this.percent = percent;
        }

        int tokens() {
            return tokens;
        }
    }

    /** A plan with at least one prompt of each length when {@code prompts} allows it. */
    static LoadPlan of(int prompts, int orders, long seed) {
        List<Item> items = new ArrayList<>();
        for (LengthClass length : LengthClass.values()) {
            int count = Math.max(1, prompts * length.percent / 100);
            for (int i = 0; i < count && items.size() < prompts; i++) {
                items.add(new Item(items.size(), length.tokens));
            }
        }
        while (items.size() < prompts) {
            items.add(new Item(items.size(), LengthClass.TOKENS_1K.tokens));
        }
        for (int i = 0; i < orders; i++) {
            items.add(new Item(items.size(), 0));
        }
        java.util.Collections.shuffle(items, new Random(seed));
        return new LoadPlan(List.copyOf(items));
    }
}
