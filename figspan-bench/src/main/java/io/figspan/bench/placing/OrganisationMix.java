package io.figspan.bench.placing;

import io.figspan.core.id.OrganisationId;
import java.util.Optional;
import java.util.Random;

/**
 * The organisations that requests come from. All have the same usual rate, from which the first one deviates.
 *
 * @param count number of organisations
 * @param factor rate of the first organisation between {@code fromMs} and {@code toMs}, relative to its usual one
 * @param otherwise the same before and after; 0 for a pause
 * @param areNamed whether jobs carry their organisation; otherwise only the results are counted for each
 */
record OrganisationMix(int count, double factor, double otherwise, double fromMs, double toMs, boolean areNamed) {
    /** The organisation whose rate changes. */
    static final OrganisationId GREEDY = OrganisationId.of("organisation-0");

    private double factorAt(double atMs) {
        return atMs >= fromMs && atMs < toMs ? factor : otherwise;
    }

    /** Factor of the total rate. */
    double rateFactor(double atMs) {
        return (count - 1 + factorAt(atMs)) / count;
    }

    OrganisationId draw(Random random, double atMs) {
        double ofGreedy = factorAt(atMs);
        double drawn = random.nextDouble() * (count - 1 + ofGreedy);
        return drawn < ofGreedy ? GREEDY : OrganisationId.of("organisation-" + (1 + (int) (drawn - ofGreedy)));
    }

    Optional<OrganisationId> namedInJob(OrganisationId organisation) {
        return areNamed ? Optional.of(organisation) : Optional.empty();
    }
}
