package umberrun.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
 * Converts between the facts that front ends exchange, which name workers and carry an origin, and
 * the observations of the dispatcher, which numbers workers.
 */
final class FactTranslator {
  private static final int MAX_FACTS = 8_192;
  private static final int MAX_UNVERIFIED_COPIES = 4_096;
  private static final int MAX_PENDING_FACTS = 2_048;
  private static final long SECOND_MICROS = 1_000_000;

  /** Facts older than this are ignored: other functions displace a loaded one every 14 to 25 s. */
  private static final long MAX_AGE_MICROS = 30 * SECOND_MICROS;

  /**
   * Initial half-life of facts about workers. Only that of copies is adjusted, by whether call
   * responses confirm the facts about them.
   */
  private static final long WORKER_HALF_LIFE_MICROS = 15 * SECOND_MICROS;

  /** Initial half-life of facts about functions. */
  private static final long FUNCTION_HALF_LIFE_MICROS = 20 * SECOND_MICROS;

  /** A copy of a function at a worker that another front end has reported. */
  private record CopyKey(int worker, long function) {}

  private final String origin = UUID.randomUUID().toString().substring(0, 13);
  private final FactStore factStore = new FactStore(MAX_FACTS, origin);

  /** What the own dispatcher has observed last, in the order of its export. */
  private final Set<Subject> ownSubjects = new LinkedHashSet<>();

  private final FactHalfLife halfLives;
  private final FactFilter filter;

  /** Copies that no response has confirmed or refuted yet, and when their fact was observed. */
  private final Map<CopyKey, Long> unverifiedCopies = new LinkedHashMap<>();

  /**
   * Facts about workers that are not on this front end's list yet: the list may arrive after them.
   */
  private final Set<Fact> pendingFacts = new LinkedHashSet<>();

  FactTranslator(Settings settings) {
    long copyHalfLife =
        settings.loadPolicy().idleRetention() > 0
            ? settings.loadPolicy().idleRetention()
            : 10 * SECOND_MICROS;
    halfLives =
        new FactHalfLife(
            Map.of(
                Kind.COPY,
                copyHalfLife,
                Kind.WORKER,
                WORKER_HALF_LIFE_MICROS,
                Kind.FUNCTION,
                FUNCTION_HALF_LIFE_MICROS));
    filter = new FactFilter(settings.rules().coldDuration(), MAX_AGE_MICROS);
  }

  /**
   * Identifies this process in the facts that it passes on; random, so it differs after a restart.
   */
  String origin() {
    return origin;
  }

  /** Forgets what the own dispatcher has observed, before it exports all of it again. */
  void forgetOwn() {
    factStore.forgetOwn();
    ownSubjects.clear();
  }

  /**
   * Stores an observation of the own dispatcher.
   *
   * @param nameOf maps a worker number to its name, or to null where it is not listed
   */
  void recordObservation(Observation observation, IntFunction<String> nameOf, long now) {
    Fact fact = fact(observation, nameOf, now);
    if (fact != null) {
      factStore.merge(fact);
      ownSubjects.add(fact.subject());
    }
  }

  private Fact fact(Observation observation, IntFunction<String> nameOf, long now) {
    if (observation instanceof FunctionObservation function) {
      return new Fact(
          new Subject(Kind.FUNCTION, "", function.function()),
          new Value(
              function.callClass(), function.lanes(), function.loadTime(), function.recentCalls()),
          origin,
          now - function.age());
    }
    String name =
        nameOf.apply(
            observation instanceof CopyObservation copy
                ? copy.worker()
                : ((WorkerObservation) observation).worker());
    // A worker may leave the list before its calls end.
    if (name == null) {
      return null;
    }
    return observation instanceof CopyObservation copy
        ? new Fact(
            new Subject(Kind.COPY, name, copy.function()), Value.NONE, origin, now - copy.age())
        : new Fact(
            new Subject(Kind.WORKER, name, 0),
            new Value(
                ((WorkerObservation) observation).latencyRatio(),
                ((WorkerObservation) observation).failureRate(),
                0,
                0),
            origin,
            now);
  }

  /** Keeps a fact about an unlisted worker until the next list update. */
  void addPending(Fact fact) {
    // Bounded, as some names may never be listed.
    if (pendingFacts.size() < MAX_PENDING_FACTS) {
      pendingFacts.add(fact);
    }
  }

  /** Removes and returns the facts that waited for a list update. */
  List<Fact> removePending() {
    List<Fact> removed = List.copyOf(pendingFacts);
    pendingFacts.clear();
    return removed;
  }

  /**
   * All facts that are stored: first those about what the own dispatcher has observed, in the order
   * of its export, then the others, the latest first.
   */
  List<Fact> facts() {
    List<Fact> facts = new ArrayList<>();
    ownSubjects.stream().map(factStore::get).filter(Objects::nonNull).forEach(facts::add);
    factStore.all().stream()
        .filter(fact -> !ownSubjects.contains(fact.subject()))
        .sorted(Comparator.comparingLong(Fact::seenAt).reversed())
        .forEach(facts::add);
    return facts;
  }

  /**
   * Merges a fact from another front end. Returns the observation for the dispatcher, or null where
   * the fact brings nothing new or is not credible.
   *
   * @param worker the number of the worker, 0 for a fact about a function
   * @param status the state of the worker here, null for a fact about a function
   */
  Observation mergeRemote(Fact fact, int worker, FactFilter.WorkerStatus status, long now) {
    if (fact.origin().equals(origin)
        || !filter.admits(fact, status, now)
        || !factStore.merge(fact)) {
      return null;
    }
    Subject subject = fact.subject();
    Value value = fact.value();
    long age = Math.max(0, now - fact.seenAt());
    double weight = halfLives.weight(subject.kind(), age);
    return switch (subject.kind()) {
      case COPY -> {
        addUnverified(new CopyKey(worker, subject.function()), fact.seenAt(), now);
        yield new CopyObservation(worker, subject.function(), age, weight);
      }
      case WORKER -> new WorkerObservation(worker, value.a(), value.b(), age, weight);
      case FUNCTION ->
          new FunctionObservation(
              subject.function(),
              (int) value.a(),
              value.b(),
              (long) value.c(),
              value.d(),
              age,
              weight);
    };
  }

  /** Remembers a reported copy until it is verified, or too old to be. */
  private void addUnverified(CopyKey copy, long seenAt, long now) {
    Iterator<Long> eldest = unverifiedCopies.values().iterator();
    while (eldest.hasNext() && now - eldest.next() > MAX_AGE_MICROS) {
      eldest.remove();
    }
    if (unverifiedCopies.size() < MAX_UNVERIFIED_COPIES) {
      unverifiedCopies.put(copy, seenAt);
    }
  }

  /**
   * Checks a fact about a copy against what the response of its worker says of it, and records
   * whether the fact was right.
   */
  void verifyCopy(int worker, long function, CopyStatus copyStatus, long now) {
    if (!unverifiedCopies.isEmpty() && copyStatus != CopyStatus.NONE) {
      Long seenAt = unverifiedCopies.remove(new CopyKey(worker, function));
      if (seenAt != null && now - seenAt <= MAX_AGE_MICROS) {
        halfLives.record(Kind.COPY, now - seenAt, copyStatus == CopyStatus.WARM);
      }
    }
  }

  /** The age in microseconds at which half of the facts of this kind no longer hold. */
  long halfLife(Kind kind) {
    return halfLives.halfLife(kind);
  }
}
