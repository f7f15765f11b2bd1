package io.figspan.policy.placing;

import io.figspan.core.id.OrganisationId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Tracks the tokens of the work that each organisation has at the engines. */
final class OrganisationWork {
    /** Jobs without an organisation count together, so that a caller gains nothing by sending no key. */
    private static final OrganisationId WITHOUT_KEY = OrganisationId.of("#without-key");

    private final Map<OrganisationId, Work> work = new HashMap<>();
    private long totalTokens;

    /** The jobs of one organisation at the engines. */
    private static final class Work {
        final List<Long> tokensOfJobs = new ArrayList<>();
        long tokens;

        /** Tokens without the largest job, since a share can't be divided more finely than into jobs. */
        long divisibleTokens() {
            return tokens - Collections.max(tokensOfJobs);
        }
    }

    /** Returns the organisation that a job counts for. */
    static OrganisationId ownerOf(Job job) {
        return job.organisation().orElse(WITHOUT_KEY);
    }

    /** Returns the tokens of a job, prompt and answer; at least 1, so that jobs without a prompt count too. */
    static long tokensOf(Job job) {
        return Math.max(1, job.prompt().map(PromptLengths::maxMemoryTokens).orElse(1L));
    }

    void started(Job job) {
        Work ofOwner = work.computeIfAbsent(ownerOf(job), owner -> new Work());
        ofOwner.tokensOfJobs.add(tokensOf(job));
        ofOwner.tokens += tokensOf(job);
        totalTokens += tokensOf(job);
    }

    /** A job that was started is no longer at an engine. */
    void ended(Job job) {
        Work ofOwner = work.get(ownerOf(job));
        ofOwner.tokensOfJobs.remove(Long.valueOf(tokensOf(job)));
        ofOwner.tokens -= tokensOf(job);
        totalTokens -= tokensOf(job);
        if (ofOwner.tokensOfJobs.isEmpty()) {
            work.remove(ownerOf(job));
        }
    }

    /** Tokens of the work of one organisation. */
    long tokens(OrganisationId organisation) {
        Work ofOwner = work.get(organisation);
        return ofOwner == null ? 0 : ofOwner.tokens;
    }

    /** Number of organisations that have work at the engines and match. */
    int count(Predicate<OrganisationId> matches) {
        return (int) work.keySet().stream().filter(matches).count();
    }

    /**
     * Returns the work of an organisation, without its largest job, relative to an equal share of all work.
     *
     * @param organisations number of organisations that share the engines, this one included
     */
    double overuse(OrganisationId organisation, int organisations) {
        Work ofOwner = work.get(organisation);
        return ofOwner == null ? 0 : (double) ofOwner.divisibleTokens() * organisations / totalTokens;
    }
}
