package io.figspan.bench.placing;

import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * One model engine that works in passes. A pass in which requests write has {@code decodeStepsPerPass} steps, else one;
 * it reads up to {@code chunkTokens} prompt tokens a step: first parts for other engines and of prompts that others
 * help to read, the latest first, then whole prompts in the order of arrival. A first token comes at the end of the
 * pass that finishes the reading, further pieces at the end of each pass.
 */
final class PassEngine {
    private static final double MILLION = 1_000_000;
    private static final double THOUSAND = 1_000;

    private final EventQueue events;
    private final EngineProfile profile;
    private final Deque<Work> queue = new ArrayDeque<>();
    private final List<Reading> readings = new ArrayList<>();
    private final List<Work> writers = new ArrayList<>();
    private double memoryTokens;
    private int slotsTaken;
    private int partsForOthers;
    private boolean inPass;
    private double busyMs;

    /** One request at the engine that runs it. */
    static final class Work {
        final double promptTokens;
        final int pieces;
        final double heldElsewhereTokens;
        final WorkListener listener;
        final PassEngine engine;
        final List<PassEngine> readers;
        int partsLeft;
        int written;
        boolean admitted;
        boolean cancelled;

        Work(
                PassEngine engine,
                List<PassEngine> readers,
                double promptTokens,
                double heldElsewhereTokens,
                int pieces,
                WorkListener listener) {
            this.engine = engine;
            this.readers = List.copyOf(readers);
            this.promptTokens = promptTokens;
            this.heldElsewhereTokens = heldElsewhereTokens;
            this.pieces = pieces;
            this.listener = listener;
            this.partsLeft = readers.size() + 1;
        }

        double contextTokens() {
            return promptTokens - heldElsewhereTokens;
        }
    }

    /** Hears of the answer at the engine, without the time of the network. */
    interface WorkListener {
        void onPiece(int pieces);

        void onEnd();

        void onRefused();
    }

    /** Reading that an engine has to do for a request. */
    private static final class Reading {
        final Work work;
        final double tokens;
        final double pairsBefore;
        double doneTokens;

        /** Pairs are spread evenly over a part; a whole prompt has more of them towards its end. */
        Reading(Work work, double tokens, double pairsBefore) {
            this.work = work;
            this.tokens = tokens;
            this.pairsBefore = pairsBefore;
        }
    }

    PassEngine(EventQueue events, EngineProfile profile) {
        this.events = events;
        this.profile = profile;
    }

    double busyMs() {
        return busyMs;
    }

    void submit(Work work) {
        for (PassEngine reader : work.readers) {
            if (reader.partsForOthers >= profile.slots()) {
                work.listener.onRefused();
                return;
            }
        }
        if (work.contextTokens() > profile.memoryTokens() || queue.size() > 2 * profile.slots()) {
            work.listener.onRefused();
            return;
        }
        for (PassEngine reader : work.readers) {
            reader.partsForOthers++;
            reader.addPart(work);
        }
        if (!work.readers.isEmpty()) {
            addPart(work);
        }
        queue.add(work);
        admit();
        run();
    }

    void cancel(Work work) {
        if (work.cancelled) {
            return;
        }
        work.cancelled = true;
        for (PassEngine reader : work.readers) {
            reader.dropReading(work);
        }
        dropReading(work);
        leave(work);
    }

    private void addPart(Work work) {
        int engines = work.readers.size() + 1;
        double tokens = work.promptTokens / engines;
        double pairs = work.promptTokens * work.promptTokens / 2 / engines;
        readings.add(0, new Reading(work, tokens, pairs / tokens));
        run();
    }

    private void dropReading(Work work) {
        boolean dropped = readings.removeIf(reading -> reading.work == work);
        if (dropped && work.engine != this) {
            partsForOthers--;
        }
    }

    private void leave(Work work) {
        writers.remove(work);
        queue.remove(work);
        if (work.admitted) {
            work.admitted = false;
            slotsTaken--;
            memoryTokens -= work.contextTokens();
        }
        admit();
        run();
    }

    private void admit() {
        for (Iterator<Work> waiting = queue.iterator(); waiting.hasNext(); ) {
            Work work = waiting.next();
            boolean fits =
                    slotsTaken < profile.slots() && memoryTokens + work.contextTokens() <= profile.memoryTokens();
            if (!fits) {
                return;
            }
            waiting.remove();
            work.admitted = true;
            slotsTaken++;
            memoryTokens += work.contextTokens();
            if (work.readers.isEmpty()) {
                readings.add(new Reading(work, work.promptTokens, -1));
            } else if (work.partsLeft == 0) {
                begin(work);
            }
        }
    }

    // Passes

    private void run() {
        if (inPass || (readings.isEmpty() && writers.isEmpty())) {
            return;
        }
        inPass = true;
        boolean writes = !writers.isEmpty();
        int steps = writes ? profile.decodeStepsPerPass() : 1;
        double tokensLeft = (double) profile.chunkTokens() * steps;
        double passMs = steps * stepMs();
        List<Reading> finished = new ArrayList<>();
        for (Reading reading : readings) {
            if (tokensLeft <= 0) {
                break;
            }
            double tokens = Math.min(tokensLeft, reading.tokens - reading.doneTokens);
            passMs += readMs(reading, tokens);
            reading.doneTokens += tokens;
            tokensLeft -= tokens;
            if (reading.doneTokens >= reading.tokens - 0.5) {
                finished.add(reading);
            }
        }
        List<Work> writing = List.copyOf(writers);
        busyMs += passMs;
        events.after(passMs, () -> endPass(finished, writing));
    }

    private double stepMs() {
        double contextTokens = 0;
        for (Work work : writers) {
            contextTokens += work.contextTokens() + (double) work.written * profile.decodeStepsPerPass();
        }
        return profile.stepMs()
                + writers.size() * profile.stepMsPerDecodingRequest()
                + contextTokens / THOUSAND * profile.stepMsPerThousandContextTokens();
    }

    private double readMs(Reading reading, double tokens) {
        double pairsOfToken = reading.pairsBefore >= 0 ? reading.pairsBefore : reading.doneTokens + tokens / 2;
        return tokens / profile.prefillTokensPerMs()
                + tokens * pairsOfToken / MILLION * profile.prefillMsPerMillionPairs();
    }

    private void endPass(List<Reading> finished, List<Work> writing) {
        inPass = false;
        for (Work work : writing) {
            if (!work.cancelled && writers.contains(work)) {
                piece(work);
            }
        }
        for (Reading reading : finished) {
            if (readings.remove(reading)) {
                if (reading.work.engine != this) {
                    partsForOthers--;
                }
                reading.work.partsLeft--;
                if (reading.work.partsLeft == 0) {
                    reading.work.engine.begin(reading.work);
                }
            }
        }
        run();
    }

    private void begin(Work work) {
        if (!work.admitted || work.cancelled) {
            return;
        }
        writers.add(work);
        piece(work);
        run();
    }

    private void piece(Work work) {
        work.written++;
        work.listener.onPiece(work.written);
        if (work.written >= work.pieces) {
            work.cancelled = true;
            leave(work);
            work.listener.onEnd();
        }
    }
}
