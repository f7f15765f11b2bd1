package io.figspan.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cache of prompt prefixes in blocks, least recently used first out. Its events come out late and every
 * {@link #EVENT_GAP}th is lost, as with real engines.
 */
final class PrefixCache {
    /** Tokens per block. */
    static final int BLOCK_TOKENS = 1_024;

    /** One event in this many is lost. */
    static final int EVENT_GAP = 7;

    private static final int MAX_EVENTS = 256;

    /** A block was stored or evicted. {@code prefixDigest} is the digest of the prompt up to the end of the block. */
    record Event(long sequence, String kind, String prefixDigest, long readyAtNanos) {}

    private final int capacityBlocks;
    private final long eventDelayNanos;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Event> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(int capacityBlocks, long eventDelayNanos) {
        this.capacityBlocks = capacityBlocks;
        this.eventDelayNanos = eventDelayNanos;
    }

    /** Returns how many tokens of the prompt's beginning are cached, and caches all its blocks. */
    int lookUpAndStore(long startDigest, String text, long nowNanos) {
        int cachedTokens = 0;
        boolean hit = true;
        long digest = startDigest;
        int blockChars = BLOCK_TOKENS * Answers.CHARS_PER_TOKEN;
        for (int start = 0; start + blockChars <= text.length(); start += blockChars) {
            digest = Answers.extend(digest, text.substring(start, start + blockChars));
            hit = hit && blocks.get(digest) != null;
            if (hit) {
                cachedTokens += BLOCK_TOKENS;
            } else {
                store(digest, nowNanos);
            }
        }
        return cachedTokens;
    }

    /** Bloom filter of 64 bits over the cached prefixes: the highest 6 bits of a digest choose the bit. */
    long hint() {
        long hint = 0;
        for (long digest : blocks.keySet()) {
            hint |= 1L << (digest >>> 58);
        }
        return hint;
    }

    /** Events that are old enough to be told and newer than {@code after}. */
    List<Event> eventsAfter(long after, long nowNanos) {
        List<Event> ready = new ArrayList<>();
        for (Event event : events) {
            if (event.sequence() > after && nowNanos - event.readyAtNanos() >= 0) {
                ready.add(event);
            }
        }
        return ready;
    }

    private void store(long digest, long nowNanos) {
        blocks.put(digest, Boolean.TRUE);
        addEvent("stored", digest, nowNanos);
        if (blocks.size() > capacityBlocks) {
            long evicted = blocks.keySet().iterator().next();
            blocks.remove(evicted);
            addEvent("evicted", evicted, nowNanos);
        }
    }

    private void addEvent(String kind, long digest, long nowNanos) {
        sequence++;
        if (sequence % EVENT_GAP == 0) {
            return;
        }
        events.addLast(new Event(sequence, kind, Long.toHexString(digest), nowNanos + eventDelayNanos));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
