package io.figspan.bench.policy;

import io.figspan.policy.affinity.CacheEvent;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.placement.LoadReport;
import io.figspan.policy.subset.EngineLocation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Model of an engine with continuous batching. Each step processes one token of each running stream and up to a chunk
 * of prompt tokens in the order of priority. A step takes the time of its prompt tokens and of its streams, and at
 * least the time to read the weights once.
 */
final class Engine {
    static final long PREFILL_TOKENS_PER_SECOND = 40_000;
    static final int CHUNK_TOKENS = 2_048;
    static final long KV_TOKENS = 400_000;
    static final long MIN_STEP_NANOS = 20_000_000;
    /** Time that one running stream adds to a step. */
    static final long DECODE_NANOS = 100_000;
    /** Cached prefixes take at most this part of the memory. */
    static final long MAX_CACHE_TOKENS = KV_TOKENS / 4;

    static final long TOKEN_NANOS = 1_000_000_000 / PREFILL_TOKENS_PER_SECOND;
    /** Speed as the hosts know it: a step with a full chunk and some 20 streams. */
    static final EngineSpeed SPEED = new EngineSpeed(
            PREFILL_TOKENS_PER_SECOND, CHUNK_TOKENS, CHUNK_TOKENS * TOKEN_NANOS + 20 * DECODE_NANOS, KV_TOKENS);

    private static final Comparator<Job> ORDER =
            Comparator.<Job>comparingLong(job -> job.orderNanos).thenComparing(job -> job.prompt.id());

    final EngineLocation runner;
    private final EventQueue events;
    private final Consumer<CacheEvent> cacheEvents;
    private final TreeSet<Job> waiting = new TreeSet<>(ORDER);
    private final TreeSet<Job> prefilling = new TreeSet<>(ORDER);
    private final List<Job> decoding = new ArrayList<>();
    private final Map<Long, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cacheTokens;
    private long usedTokens;
    private boolean stepping;
    private long reportSequence;
    private long cacheSequence;
    long hitTokens;
    long sharedTokens;

    Engine(EngineLocation runner, EventQueue events, Consumer<CacheEvent> cacheEvents) {
        this.runner = runner;
        this.events = events;
        this.cacheEvents = cacheEvents;
    }

    void submit(Job job) {
        waiting.add(job);
        wake();
    }

    /** Drops a job that was abandoned and frees its memory. */
    void cancel(Job job) {
        job.abandoned = true;
        waiting.remove(job);
        prefilling.remove(job);
        decoding.remove(job);
        if (job.resident) {
            release(job);
        }
        wake();
    }

    /** Frees the memory of a finished job or of a hold. */
    void release(Job job) {
        if (job.resident) {
            job.resident = false;
            usedTokens -= job.kvTokens;
        }
        wake();
    }

    LoadReport report() {
        long queued = 0;
        for (Job job : waiting) {
            queued += job.prefillLeft;
        }
        for (Job job : prefilling) {
            queued += job.prefillLeft;
        }
        long hint = 0;
        for (long prefix : cache.keySet()) {
            hint |= LoadReport.hintBit(prefix);
        }
        return new LoadReport(++reportSequence, queued, decoding.size(), usedTokens, KV_TOKENS, hint);
    }

    private void wake() {
        if (!stepping) {
            stepping = true;
            events.after(0, this::step);
        }
    }

    private void step() {
        admitToMemory();
        List<Job> chunkJobs = new ArrayList<>();
        List<Long> chunkTokens = new ArrayList<>();
        long budget = CHUNK_TOKENS;
        for (Job job : prefilling) {
            if (budget == 0) {
                break;
            }
            long tokens = Math.min(budget, job.prefillLeft);
            chunkJobs.add(job);
            chunkTokens.add(tokens);
            budget -= tokens;
        }
        if (chunkJobs.isEmpty() && decoding.isEmpty()) {
            stepping = false;
            return;
        }
        long work = (CHUNK_TOKENS - budget) * TOKEN_NANOS;
        long streams = decoding.size() * DECODE_NANOS;
        long duration = Math.max(MIN_STEP_NANOS, work) + streams;
        int running = decoding.size();
        events.after(duration, () -> endStep(chunkJobs, chunkTokens, running));
    }

    private void endStep(List<Job> chunkJobs, List<Long> chunkTokens, int running) {
        List<Job> finished = new ArrayList<>();
        for (int i = Math.min(running, decoding.size()) - 1; i >= 0; i--) {
            Job job = decoding.get(i);
            job.decodeLeft--;
            if (job.decodeLeft <= 0) {
                decoding.remove(i);
                finished.add(job);
            }
        }
        for (int i = 0; i < chunkJobs.size(); i++) {
            Job job = chunkJobs.get(i);
            if (job.abandoned) {
                continue;
            }
            job.prefillLeft -= chunkTokens.get(i);
            job.processedTokens += chunkTokens.get(i);
            if (job.prefillLeft <= 0) {
                prefilling.remove(job);
                endPrefill(job, finished);
            }
        }
        for (Job job : finished) {
            release(job);
            job.onFinished.run();
        }
        step();
    }

    private void endPrefill(Job job, List<Job> finished) {
        store(job);
        job.decodeLeft--;
        if (job.decodeLeft > 0) {
            decoding.add(job);
        } else {
            finished.add(job);
        }
        job.onPrefilled.run();
    }

    // ---- Memory ----

    private void admitToMemory() {
        Iterator<Job> inOrder = waiting.iterator();
        List<Job> granted = new ArrayList<>();
        while (inOrder.hasNext()) {
            Job job = inOrder.next();
            if (usedTokens + job.kvTokens > KV_TOKENS) {
                break;
            }
            inOrder.remove();
            usedTokens += job.kvTokens;
            job.resident = true;
            evict();
            if (job.hold) {
                granted.add(job);
            } else {
                useCache(job);
                prefilling.add(job);
            }
        }
        granted.forEach(job -> job.onPrefilled.run());
    }

    private void useCache(Job job) {
        long prefix = job.prompt.cost().prefixHash();
        if (prefix == 0) {
            return;
        }
        sharedTokens += job.prompt.cost().prefixTokens();
        if (cache.get(prefix) != null) {
            hitTokens += job.prompt.cost().prefixTokens();
            job.prefillLeft = job.prompt.cost().prefillTokens(true);
        }
    }

    private void store(Job job) {
        long prefix = job.prompt.cost().prefixHash();
        if (prefix != 0 && !cache.containsKey(prefix)) {
            cache.put(prefix, job.prompt.cost().prefixTokens());
            cacheTokens += job.prompt.cost().prefixTokens();
            cacheEvents.accept(new CacheEvent(runner.server(), ++cacheSequence, prefix, true));
            evict();
        }
    }

    private void evict() {
        Iterator<Map.Entry<Long, Long>> oldest = cache.entrySet().iterator();
        while (oldest.hasNext() && (cacheTokens > MAX_CACHE_TOKENS || usedTokens + cacheTokens > KV_TOKENS)) {
            Map.Entry<Long, Long> entry = oldest.next();
            oldest.remove();
            cacheTokens -= entry.getValue();
            cacheEvents.accept(new CacheEvent(runner.server(), ++cacheSequence, entry.getKey(), false));
        }
    }
}
