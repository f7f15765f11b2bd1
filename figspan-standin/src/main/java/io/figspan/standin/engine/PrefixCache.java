package io.figspan.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * LRU cache of prompt prefixes, divided into blocks of {@value #BLOCK_TOKENS} tokens. As with real engines, cache
 * events are published with a delay, and every {@value #EVENT_LOSS_INTERVAL}th event is lost.
 */
final class PrefixCache {
    /** Block size in tokens. */
    static final int BLOCK_TOKENS = 1_024;

    /** One of this many events is lost. */
    static final int EVENT_LOSS_INTERVAL = 7;

    private static final int MAX_EVENTS = 256;

    /**
     * Event that reports a stored or evicted block.
     *
     * @param prefixDigest digest of the prompt up to the end of the block
     * @param publishedAtNanos time from which the event is published
     */
    record Event(long sequence, String kind, String prefixDigest, long publishedAtNanos) {}

    private final int capacityBlocks;
    private final long eventDelayNanos;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Event> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(int capacityBlocks, long eventDelayNanos) {
        this.capacityBlocks = capacityBlocks;
        this.eventDelayNanos = eventDelayNanos;
    }

    /** Returns the number of tokens in the cached prefix of a prompt and stores the prompt's other blocks. */
    int lookUpAndStore(long startDigest, String text, long nowNanos) {
        int cachedTokens = 0;
        boolean isPrefixCached = true;
        long digest = startDigest;
        int blockChars = BLOCK_TOKENS * Answers.CHARS_PER_TOKEN;
        for (int start = 0; start + blockChars <= text.length(); start += blockChars) {
            digest = Answers.extendDigest(digest, text.substring(start, start + blockChars));
            isPrefixCached = isPrefixCached && blocks.get(digest) != null;
            if (isPrefixCached) {
                cachedTokens += BLOCK_TOKENS;
            } else {
                store(digest, nowNanos);
            }
        }
        return cachedTokens;
    }

    /** Returns a 64-bit Bloom filter of the cached prefixes. The highest 6 bits of a digest select the bit. */
    long bloomFilter() {
        long bloomFilter = 0;
        for (long digest : blocks.keySet()) {
            bloomFilter |= 1L << (digest >>> 58);
        }
        return bloomFilter;
    }

    /** Returns the published events with a sequence number above {@code after}. */
    List<Event> eventsAfter(long after, long nowNanos) {
        List<Event> published = new ArrayList<>();
        for (Event event : events) {
            if (event.sequence() > after && nowNanos - event.publishedAtNanos() >= 0) {
                published.add(event);
            }
        }
        return published;
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
        if (sequence % EVENT_LOSS_INTERVAL == 0) {
            return;
        }
        events.addLast(new Event(sequence, kind, Long.toHexString(digest), nowNanos + eventDelayNanos));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
