package umberrun.learning;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberrun.learning.Fact.Subject;

/**
 * What this instance saw and heard: for each subject the fact that was seen last. Bounded; free of
 * I/O.
 */
public final class FactStore {
  private final int most;
  private final Map<Subject, Fact> facts = new HashMap<>();

  /**
   * @param most facts kept; beyond that the ones seen longest ago go
   */
  public FactStore(int most) {
    this.most = most;
  }

  /** Takes a fact in; whether it is news. */
  public boolean merge(Fact fact) {
    if (!fact.value().isFinite()) { // guards the module against a peer's nonsense
      return false;
    }
    Fact before = facts.get(fact.subject());
    if (before != null && Fact.later(before, fact) == before) {
      return false;
    }
    facts.put(fact.subject(), fact);
    if (facts.size() > most) {
      prune();
    }
    return true;
  }

  /** Forgets a quarter at once, so that the sorting is paid for by many facts. */
  private void prune() {
    List<Fact> all = new ArrayList<>(facts.values());
    all.sort(Comparator.comparingLong(Fact::seenAt));
    all.subList(0, Math.max(1, all.size() / 4)).forEach(f -> facts.remove(f.subject()));
  }

  /** Forgets what was seen before {@code first}. */
  public void forget(long first) {
    facts.values().removeIf(f -> f.seenAt() < first);
  }

  public Fact get(Subject subject) {
    return facts.get(subject);
  }

  public Collection<Fact> all() {
    return List.copyOf(facts.values());
  }

  public int size() {
    return facts.size();
  }
}
