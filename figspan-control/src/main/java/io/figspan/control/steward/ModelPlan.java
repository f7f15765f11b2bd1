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
 * Which engine serves which model: a pure function of the settings and the published list, so that every host, on both
 * sides of a partition, computes the same plan. Quotas follow the model shares by the largest remainder method; the
 * engines of a model are chosen in the order of rendezvous weights, so one engine more or less moves few others.
 */
public record ModelPlan(SettingsVersion version, Map<BackendServerId, Assignment> assignments) {
    public ModelPlan {
        assignments = Map.copyOf(assignments);
    }

    /** Computes the plan. Engines and shares may come in any order. */
    public static ModelPlan compute(
            SettingsVersion version, Collection<ModelShare> shares, Collection<PlannedEngine> engines) {
        List<ModelShare> models = shares.stream()
                .filter(share -> share.share() > 0)
                .sorted(Comparator.comparing(ModelShare::model))
                .toList();
        Map<ModelId, Integer> quotas = quotas(models, engines.size());
        Map<BackendServerId, ModelId> chosen = choose(quotas, engines);
        Map<BackendServerId, Assignment> assignments = new HashMap<>();
        for (ModelShare model : models) {
            assignRoles(model, chosen, assignments);
        }
        return new ModelPlan(version, assignments);
    }

    public Optional<Assignment> assignment(BackendServerId engine) {
        return Optional.ofNullable(assignments.get(engine));
    }

    /** Engines for each model by the largest remainder method; at least one for each while there are enough. */
    static Map<ModelId, Integer> quotas(List<ModelShare> models, int engineCount) {
        Map<ModelId, Integer> quotas = new TreeMap<>();
        double total = models.stream().mapToDouble(ModelShare::share).sum();
        List<Remainder> remainders = new ArrayList<>();
        int given = 0;
        for (ModelShare model : models) {
            double exact = engineCount * model.share() / total;
            int whole = (int) Math.floor(exact);
            quotas.put(model.model(), whole);
            remainders.add(new Remainder(model.model(), exact - whole));
            given += whole;
        }
        remainders.sort(Comparator.<Remainder>comparingDouble(Remainder::value)
                .reversed()
                .thenComparing(Remainder::model));
        for (int i = 0; i < remainders.size() && given < engineCount; i++) {
            quotas.merge(remainders.get(i).model(), 1, Integer::sum);
            given++;
        }
        if (engineCount >= models.size()) {
            giveOneToEach(quotas);
        }
        return quotas;
    }

    private static void giveOneToEach(Map<ModelId, Integer> quotas) {
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

    /** Takes pairs of model and engine by descending weight while both the quota and the engine are free. */
    private static Map<BackendServerId, ModelId> choose(
            Map<ModelId, Integer> quotas, Collection<PlannedEngine> engines) {
        Map<AvailabilityZoneId, Integer> zoneSizes = new HashMap<>();
        engines.forEach(engine -> zoneSizes.merge(engine.availabilityZone(), 1, Integer::sum));
        List<Pair> pairs = new ArrayList<>();
        for (ModelId model : quotas.keySet()) {
            for (PlannedEngine engine : engines) {
                long weight =
                        RendezvousHash.weight(model.value(), engine.engine().value());
                pairs.add(new Pair(model, engine, weight));
            }
        }
        pairs.sort(Comparator.<Pair>comparingLong(Pair::weight)
                .reversed()
                .thenComparing(Pair::model)
                .thenComparing(pair -> pair.engine().engine()));
        Map<ModelId, Integer> left = new HashMap<>(quotas);
        Map<BackendServerId, ModelId> chosen = new LinkedHashMap<>();
        Map<ZoneModel, Integer> perZone = new HashMap<>();
        for (Pair pair : pairs) {
            ZoneModel zoneModel = new ZoneModel(pair.engine().availabilityZone(), pair.model());
            int zoneCap = zoneCap(quotas.get(pair.model()), zoneSizes.get(zoneModel.zone()), engines.size());
            if (perZone.getOrDefault(zoneModel, 0) < zoneCap && take(pair, left, chosen)) {
                perZone.merge(zoneModel, 1, Integer::sum);
            }
        }
        // The caps of the zones can leave a few engines over; they are given out without caps.
        pairs.forEach(pair -> take(pair, left, chosen));
        return chosen;
    }

    private static int zoneCap(int quota, int zoneSize, int engineCount) {
        return (int) Math.ceil((double) quota * zoneSize / engineCount);
    }

    private static boolean take(Pair pair, Map<ModelId, Integer> left, Map<BackendServerId, ModelId> chosen) {
        if (left.get(pair.model()) == 0 || chosen.containsKey(pair.engine().engine())) {
            return false;
        }
        left.merge(pair.model(), -1, Integer::sum);
        chosen.put(pair.engine().engine(), pair.model());
        return true;
    }

    /** The first engines of the model prefill; the rest decode, or do both when none prefills. */
    private static void assignRoles(
            ModelShare model, Map<BackendServerId, ModelId> chosen, Map<BackendServerId, Assignment> assignments) {
        List<BackendServerId> engines = RendezvousHash.order(
                "role:" + model.model(),
                chosen.entrySet().stream()
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

    private record Pair(ModelId model, PlannedEngine engine, long weight) {}

    private record ZoneModel(AvailabilityZoneId zone, ModelId model) {}
}
