package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectEvidence;
import io.figspan.cluster.message.SuspectId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Divides evidence into messages. Suspects of which the same is known, like the parts of a prompt, share an entry. */
final class EvidencePages {
    /** Entries of a message. */
    static final int MAX_ENTRIES = 32;

    /** Suspects of a message; with the entries, they bound it to some ten kilobytes. */
    static final int MAX_SUSPECTS = 512;

    private static final int MAX_PAGES = 8;

    private EvidencePages() {}

    /** The first of these suspects, as many as fit into a message. */
    static List<Suspect> first(List<Suspect> suspects) {
        List<Suspect> page = new ArrayList<>();
        Set<Suspect.Knowledge> entries = new HashSet<>();
        for (Suspect suspect : suspects) {
            Suspect.Knowledge entry = suspect.knowledge();
            if (page.size() == MAX_SUSPECTS) {
                return page;
            }
            if (entries.size() < MAX_ENTRIES || entries.contains(entry)) {
                entries.add(entry);
                page.add(suspect);
            }
        }
        return page;
    }

    /** All evidence, in a bounded number of messages. */
    static List<PeerMessage.CrashEvidence> all(List<Suspect> suspects, long nowNanos) {
        List<PeerMessage.CrashEvidence> messages = new ArrayList<>();
        List<Suspect> left = suspects;
        while (!left.isEmpty() && messages.size() < MAX_PAGES) {
            List<Suspect> page = first(left);
            message(page, nowNanos).ifPresent(messages::add);
            Set<Suspect> sent = new HashSet<>(page);
            left = left.stream().filter(suspect -> !sent.contains(suspect)).toList();
        }
        return messages;
    }

    /** A message with the evidence on these suspects; empty if there are none. */
    static Optional<PeerMessage.CrashEvidence> message(List<Suspect> suspects, long nowNanos) {
        if (suspects.isEmpty()) {
            return Optional.empty();
        }
        Map<Suspect.Knowledge, List<SuspectId>> entries = new LinkedHashMap<>();
        for (Suspect suspect : suspects) {
            entries.computeIfAbsent(suspect.knowledge(), entry -> new ArrayList<>())
                    .add(suspect.id());
        }
        List<SuspectEvidence> evidence = new ArrayList<>();
        entries.forEach((entry, ids) -> evidence.add(entry.toEvidence(ids, nowNanos)));
        return Optional.of(new PeerMessage.CrashEvidence(evidence));
    }
}
