package umberrun.core;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.IntFunction;
import saddlestall.Dispatcher.CopyObservation;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.FunctionObservation;
import saddlestall.Dispatcher.Observation;
import saddlestall.Dispatcher.Settings;
import saddlestall.Dispatcher.WorkerObservation;
import umberrun.learning.Fact;
import umberrun.learning.Fact.Kind;
import umberrun.learning.Fact.Subject;
import umberrun.learning.Fact.Value;
import umberrun.learning.FactFilter;
import umberrun.learning.FactHalfLife;
import umberrun.learning.FactStore;

/**
 * Between facts, which have names and origins, and the module, which has numbers: what it saw, and
 * what it is told.
 */
final class FactTranslator {
  private static final int MOST_FACTS = 8_192;
  private static final int MOST_UNCHECKED = 4_096;
  private static final int MOST_EARLY = 2_048;
  private static final long SECOND = 1_000_000;

  /** What is older than this is of no use: functions give way to others every 14 to 25 s. */
  private static final long MOST_AGE = 30 * SECOND;

  /** Half-lives to begin with; what is heard of copies is checked against answers from then on. */
  private static final long WORKER_LIFE = 15 * SECOND;

  private static final long FUNCTION_LIFE = 20 * SECOND;

  /** A copy that we were told of and have not seen yet. */
  private record Place(int worker, long function) {}

  private final String origin = UUID.randomUUID().toString().substring(0, 13);
  private final FactStore knowledge = new FactStore(MOST_FACTS);
  private final FactHalfLife calibration;
  private final FactFilter screen;
  private final Map<Place, Long> unchecked = new HashMap<>();

  /** Facts about workers that the own list does not name yet: it may come after them. */
  private final Set<Fact> early = new LinkedHashSet<>();

  FactTranslator(Settings settings) {
    long keep =
        settings.loadPolicy().idleRetention() > 0
            ? settings.loadPolicy().idleRetention()
            : 10 * SECOND;
    calibration =
        new FactHalfLife(
            Map.of(Kind.COPY, keep, Kind.WORKER, WORKER_LIFE, Kind.FUNCTION, FUNCTION_LIFE));
    screen = new FactFilter(settings.rules().coldDuration(), MOST_AGE);
  }

  /** This instance and this life of it. */
  String origin() {
    return origin;
  }

  /** Takes down what the module saw for itself. */
  void saw(Observation known, IntFunction<String> nameOf, long now) {
    Fact fact = fact(known, nameOf, now);
    if (fact != null) {
      knowledge.merge(fact);
    }
  }

  private Fact fact(Observation known, IntFunction<String> nameOf, long now) {
    if (known instanceof FunctionObservation f) {
      return new Fact(
          new Subject(Kind.FUNCTION, "", f.function()),
          new Value(f.callClass(), f.lanes(), f.loadTime(), f.recentCalls()),
          origin,
          now - f.age());
    }
    String name =
        nameOf.apply(
            known instanceof CopyObservation c ? c.worker() : ((WorkerObservation) known).worker());
    if (name == null) { // it went before its calls ended
      return null;
    }
    return known instanceof CopyObservation c
        ? new Fact(new Subject(Kind.COPY, name, c.function()), Value.NONE, origin, now - c.age())
        : new Fact(
            new Subject(Kind.WORKER, name, 0),
            new Value(
                ((WorkerObservation) known).latencyRatio(),
                ((WorkerObservation) known).failureRate(),
                0,
                0),
            origin,
            now);
  }

  /** Keeps a fact whose worker is not known until the list has news. */
  void keepEarly(Fact fact) {
    if (early.size() < MOST_EARLY) { // guards the memory against names that nobody will ever list
      early.add(fact);
    }
  }

  /** What waited for the list; it no longer does. */
  List<Fact> takeEarly() {
    List<Fact> taken = List.copyOf(early);
    early.clear();
    return taken;
  }

  List<Fact> facts() {
    return List.copyOf(knowledge.all());
  }

  /** Takes down what another instance saw; what the module is to be told of it, or null. */
  Observation heard(Fact fact, int worker, FactFilter.WorkerStatus standing, long now) {
    if (fact.origin().equals(origin)
        || !screen.admits(fact, standing, now)
        || !knowledge.merge(fact)) {
      return null;
    }
    Subject s = fact.subject();
    Value v = fact.value();
    long age = Math.max(0, now - fact.seenAt());
    double weight = calibration.weight(s.kind(), age);
    return switch (s.kind()) {
      case COPY -> {
        if (unchecked.size() < MOST_UNCHECKED) {
          unchecked.put(new Place(worker, s.function()), fact.seenAt());
        }
        yield new CopyObservation(worker, s.function(), age, weight);
      }
      case WORKER -> new WorkerObservation(worker, v.a(), v.b(), age, weight);
      case FUNCTION ->
          new FunctionObservation(
              s.function(), (int) v.a(), v.b(), (long) v.c(), v.d(), age, weight);
    };
  }

  /** An answer tells whether what we heard of a copy was right. */
  void check(int worker, long function, CopyStatus note, long now) {
    if (!unchecked.isEmpty() && note != CopyStatus.NONE) {
      Long seenAt = unchecked.remove(new Place(worker, function));
      if (seenAt != null && now - seenAt <= MOST_AGE) {
        calibration.record(Kind.COPY, now - seenAt, note == CopyStatus.WARM);
      }
    }
  }

  /** After how long half of such facts no longer hold, as measured by now. */
  long halfLife(Kind kind) {
    return calibration.halfLife(kind);
  }
}
