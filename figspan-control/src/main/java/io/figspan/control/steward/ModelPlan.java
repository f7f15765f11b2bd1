package io.figspan.control.steward;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.ModelId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Assignment of models to engines. It depends only on the settings and the published host list, so that every host
 * computes the same plan, on both sides of a partition. The number of engines of each model follows the model shares
 * by the largest remainder method. Engines are selected by rendezvous hashing, so that adding or removing one reassigns
 * few others.
 */
public record ModelPlan(SettingsVersion version, Map<BackendServerId, Assignment> assignments) {
    public ModelPlan {
        assignments = Map.copyOf(assignments);
    }

    /** Computes the plan; the order of the shares and of the engines does not matter. */
    public static ModelPlan compute(
            SettingsVersion version, Collection<ModelShare> shares, Collection<PlannedEngine> engines) {
        List<ModelShare> models = shares.stream()
                .filter(share -> share.share() > 0)
                .sorted(Comparator.comparing(ModelShare::model))
                .toList();
        Map<ModelId, Integer> quotas = quotas(models, engines.size());
        Map<BackendServerId, ModelId> modelByEngine = selectEngines(quotas, engines);
        Map<BackendServerId, Assignment> assignments = new HashMap<>();
        for (ModelShare model : models) {
            assignRoles(model, modelByEngine, assignments);
        }
        return new ModelPlan(version, assignments);
    }

    public Optional<Assignment> assignment(BackendServerId engine) {
        return Optional.ofNullable(assignments.get(engine));
    }

    /** Number of engines of each model, by the largest remainder method; at least one each if there are enough. */
    static Map<ModelId, Integer> quotas(List<ModelShare> models, int engineCount) {
        Map<ModelId, Integer> quotas = new TreeMap<>();
        double total = models.stream().mapToDouble(ModelShare::share).sum();
        List<Remainder> remainders = new ArrayList<>();
        int allocated = 0;
        for (ModelShare model : models) {
            double exact = engineCount * model.share() / total;
            int roundedDown = (int) Math.floor(exact);
            quotas.put(model.model(), roundedDown);
            remainders.add(new Remainder(model.model(), exact - roundedDown));
            allocated += roundedDown;
        }
        remainders.sort(Comparator.<Remainder>comparingDouble(Remainder::value)
                .reversed()
                .thenComparing(Remainder::model));
        for (int i = 0; i < remainders.size() && allocated < engineCount; i++) {
            quotas.merge(remainders.get(i).model(), 1, Integer::sum);
            allocated++;
        }
        if (engineCount >= models.size()) {
            ensureOneEach(quotas);
        }
        return quotas;
    }

    private static void ensureOneEach(Map<ModelId, Integer> quotas) {
        for (Map.Entry<ModelId, Integer> quota : quotas.entrySet()) {
            if (quota.getValue() == 0) {
                Map.Entry<ModelId, Integer> largest = quotas.entrySet().stream()
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow();
                largest.setValue(largest.getValue() - 1);
                quota.setValue(1);
            }
        }
    }

    /** Assigns engines to models by descending weight, up to the quota of each model. */
    private static Map<BackendServerId, ModelId> selectEngines(
            Map<ModelId, Integer> quotas, Collection<PlannedEngine> engines) {
        Map<AvailabilityZoneId, Integer> zoneSizes = new HashMap<>();
        engines.forEach(engine -> zoneSizes.merge(engine.availabilityZone(), 1, Integer::sum));
        List<Candidate> candidates = new ArrayList<>();
        for (ModelId model : quotas.keySet()) {
            for (PlannedEngine engine : engines) {
                long weight =
                        RendezvousHash.weight(model.value(), engine.engine().value());
                candidates.add(new Candidate(model, engine, weight));
            }
        }
        candidates.sort(Comparator.<Candidate>comparingLong(Candidate::weight)
                .reversed()
                .thenComparing(Candidate::model)
                .thenComparing(candidate -> candidate.engine().engine()));
        Map<ModelId, Integer> remainingQuotas = new HashMap<>(quotas);
        Map<BackendServerId, ModelId> modelByEngine = new LinkedHashMap<>();
        Map<ZoneModel, Integer> countByZone = new HashMap<>();
        for (Candidate candidate : candidates) {
            ZoneModel zoneModel = new ZoneModel(candidate.engine().availabilityZone(), candidate.model());
            int zoneCap = zoneCap(quotas.get(candidate.model()), zoneSizes.get(zoneModel.zone()), engines.size());
            if (countByZone.getOrDefault(zoneModel, 0) < zoneCap
                    && tryAssign(candidate, remainingQuotas, modelByEngine)) {
                countByZone.merge(zoneModel, 1, Integer::sum);
            }
        }
        // The zone caps can leave some engines unassigned; those are assigned without caps.
        candidates.forEach(candidate -> tryAssign(candidate, remainingQuotas, modelByEngine));
        return modelByEngine;
    }

    private static int zoneCap(int quota, int zoneSize, int engineCount) {
        return (int) Math.ceil((double) quota * zoneSize / engineCount);
    }

    private static boolean tryAssign(
            Candidate candidate, Map<ModelId, Integer> remainingQuotas, Map<BackendServerId, ModelId> modelByEngine) {
        if (remainingQuotas.get(candidate.model()) == 0
                || modelByEngine.containsKey(candidate.engine().engine())) {
            return false;
        }
        remainingQuotas.merge(candidate.model(), -1, Integer::sum);
        modelByEngine.put(candidate.engine().engine(), candidate.model());
        return true;
    }

    /** Gives the first engines of the model the prefill role; the rest decode, or do both if none prefills. */
    private static void assignRoles(
            ModelShare model,
            Map<BackendServerId, ModelId> modelByEngine,
            Map<BackendServerId, Assignment> assignments) {
        List<BackendServerId> engines = RendezvousHash.order(
                "role:" + model.model(),
                modelByEngine.entrySet().stream()
                        .filter(entry -> entry.getValue().equals(model.model()))
                        .map(Map.Entry::getKey)
                        .toList());
        int prefillCount = (int) Math.floor(engines.size() * model.prefillShare());
        Set<BackendServerId> prefill = new HashSet<>(engines.subList(0, prefillCount));
        EngineRole otherRole = prefill.isEmpty() ? EngineRole.MIXED : EngineRole.DECODE;
        for (BackendServerId engine : engines) {
            EngineRole role = prefill.contains(engine) ? EngineRole.PREFILL : otherRole;
            assignments.put(engine, new Assignment(model.model(), model.additionalModels(), role));
        }
    }

    private record Remainder(ModelId model, double value) {}

    private record Candidate(ModelId model, PlannedEngine engine, long weight) {}

    private record ZoneModel(AvailabilityZoneId zone, ModelId model) {}
}
