package umberrun.learning;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberrun.learning.Fact.Subject;

/**
 * The facts that this front end observed itself or received from others: for each subject the
 * latest one. The number of facts is bounded. The class does no I/O.
 */
public final class FactStore {
  private final int maxFacts;
  private final String ownOrigin;
  private final Map<Subject, Fact> facts = new HashMap<>();

  /**
   * Creates an empty store.
   *
   * @param maxFacts maximum number of facts; when it is exceeded, the oldest ones are removed
   * @param ownOrigin origin of the facts that are removed after those of all others
   */
  public FactStore(int maxFacts, String ownOrigin) {
    this.maxFacts = maxFacts;
    this.ownOrigin = ownOrigin;
  }

  private boolean isOwn(Fact fact) {
    return fact.origin().equals(ownOrigin);
  }

  /**
   * Adds a fact. Returns whether it was added: false if a later fact about its subject is known, or
   * if a number is not finite.
   */
  public boolean merge(Fact fact) {
    // Invalid numbers from a faulty peer must not reach the dispatcher.
    if (!fact.value().isFinite()) {
      return false;
    }
    Fact before = facts.get(fact.subject());
    if (before != null && Fact.later(before, fact) == before) {
      return false;
    }
    facts.put(fact.subject(), fact);
    if (facts.size() > maxFacts) {
      prune();
    }
    return true;
  }

  /** Removes the oldest quarter at once, so that not every new fact costs a sort. */
  private void prune() {
    List<Fact> oldestFirst = new ArrayList<>(facts.values());
    oldestFirst.sort(Comparator.comparing(this::isOwn).thenComparingLong(Fact::seenAt));
    oldestFirst
        .subList(0, Math.max(1, oldestFirst.size() / 4))
        .forEach(f -> facts.remove(f.subject()));
  }

  /** Removes the facts observed before {@code earliest}, in microseconds. */
  public void forget(long earliest) {
    facts.values().removeIf(f -> f.seenAt() < earliest);
  }

  /** Removes the facts that this front end observed itself. */
  public void forgetOwn() {
    facts.values().removeIf(this::isOwn);
  }

  /** Returns the latest fact about a subject, or null if there is none. */
  public Fact get(Subject subject) {
    return facts.get(subject);
  }

  /** Returns a copy of all facts, in no particular order. */
  public Collection<Fact> all() {
    return List.copyOf(facts.values());
  }

  /** Returns the number of facts. */
  public int size() {
    return facts.size();
  }
}
