package saddlestall;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The functions that a dispatcher remembers. Callers may name any number of functions, so the
 * number of those without an open call or attempt is bounded for each {@link Standing}, and the
 * least recently used one gives way. A function in use is never forgotten.
 *
 * <p>Since each standing has room of its own, calls of ever new functions displace each other, and
 * not the functions that are called time and again.
 */
final class FunctionTable {
  /** How well a function is established, and how many unused functions of it are remembered. */
  enum Standing {
    /** No call of it was served: it may not exist. */
    UNSERVED(512),
    /** It was served, here or at a peer. */
    SERVED(2_048),
    /** It was called again some time after it was served. */
    REGULAR(2_048);

    private final int capacity;

    Standing(int capacity) {
      this.capacity = capacity;
    }

    /**
     * How many functions of this standing are remembered besides those in use, with up to {@link
     * #FULL_CAPACITY_WORKERS} workers.
     */
    int capacity() {
      return capacity;
    }
  }

  /**
   * With more workers, fewer functions are remembered: the home order of each takes memory and time
   * for every worker.
   */
  static final int FULL_CAPACITY_WORKERS = 512;

  /** A repeat sooner than this after the first call may be a retry of that call. */
  private static final long MIN_REGULAR_AGE_MICROS = 1_000_000;

  /** Each tick forgets at most one idle function, plus the table's size divided by this. */
  private static final int IDLE_FORGOTTEN_DIVISOR = 512;

  private final Consumer<Function> onForgotten;
  private int workers;

  /** All functions, the one that was looked up least recently first. */
  private final Map<Long, Function> functions = new LinkedHashMap<>(64, 0.75f, true);

  /** Functions that are not in use by standing, the least recently used first. */
  private final Map<Standing, Set<Function>> unused = new EnumMap<>(Standing.class);

  /**
   * @param onForgotten called with each function that is forgotten
   */
  FunctionTable(Consumer<Function> onForgotten) {
    this.onForgotten = onForgotten;
    for (Standing standing : Standing.values()) {
      unused.put(standing, new LinkedHashSet<>());
    }
  }

  /** Sets the number of workers, by which the bounds go. */
  void setWorkers(int count) {
    workers = count;
  }

  /** How many functions of a standing are remembered now besides those in use. */
  int bound(Standing standing) {
    return workers <= FULL_CAPACITY_WORKERS
        ? standing.capacity()
        : (int) Math.max(1, (long) standing.capacity() * FULL_CAPACITY_WORKERS / workers);
  }

  /** All functions, the one that was looked up least recently first. */
  Collection<Function> all() {
    return Collections.unmodifiableCollection(functions.values());
  }

  /** How many functions are remembered. */
  int size() {
    return functions.size();
  }

  /** Looks up a function; null if it is unknown. */
  Function get(long id) {
    return functions.get(id);
  }

  /** Whether a function is remembered; unlike {@link #get} this is no use of it. */
  boolean contains(long id) {
    return functions.containsKey(id);
  }

  /** Looks up the function of a new call, and marks it as in use until {@link #release}. */
  Function acquireForCall(long id, long now) {
    Function function = functions.computeIfAbsent(id, key -> new Function(key, now));
    if (function.standing == Standing.SERVED
        && now - function.knownSince >= MIN_REGULAR_AGE_MICROS) {
      setStanding(function, Standing.REGULAR);
    }
    acquire(function);
    return function;
  }

  /** Looks up a function that a peer has reported. */
  Function getReported(long id, long now) {
    Function function = functions.get(id);
    if (function == null) {
      function = new Function(id, now);
      functions.put(id, function);
      function.standing = Standing.SERVED;
      addUnused(function);
    }
    return function;
  }

  /** Counts one more call or attempt that uses the function. */
  void acquire(Function function) {
    function.uses++;
    unused.get(function.standing).remove(function);
  }

  /** Ends the use by a call or an attempt. */
  void release(Function function) {
    function.uses--;
    if (function.uses == 0) {
      addUnused(function);
    }
  }

  /** Records that a call of the function was served. */
  void onServed(Function function) {
    if (function.standing == Standing.UNSERVED) {
      setStanding(function, Standing.SERVED);
    }
  }

  private void setStanding(Function function, Standing standing) {
    boolean wasUnused = unused.get(function.standing).remove(function);
    function.standing = standing;
    if (wasUnused) {
      addUnused(function);
    }
  }

  /** Adds a function that is not in use; others give way where there are too many. */
  private void addUnused(Function function) {
    Set<Function> sameStanding = unused.get(function.standing);
    sameStanding.add(function);
    int bound = bound(function.standing);
    while (sameStanding.size() > bound) {
      displaceEldest(sameStanding);
    }
  }

  private void displaceEldest(Set<Function> sameStanding) {
    Function displaced = sameStanding.iterator().next();
    if (displaced.standing == Standing.REGULAR) {
      setStanding(displaced, Standing.SERVED);
    } else {
      sameStanding.remove(displaced);
      functions.remove(displaced.id);
      onForgotten.accept(displaced);
    }
  }

  /** Forgets some of the functions that were last active before {@code cutoff}. */
  void forgetIdle(long cutoff) {
    int limit = 1 + functions.size() / IDLE_FORGOTTEN_DIVISOR;
    List<Function> inUse = new ArrayList<>();
    Iterator<Function> eldest = functions.values().iterator();
    for (int i = 0; i < limit && eldest.hasNext(); i++) {
      Function function = eldest.next();
      if (function.lastActiveAt() >= cutoff) {
        break;
      }
      if (function.uses > 0) {
        inUse.add(function);
      } else {
        eldest.remove();
        unused.get(function.standing).remove(function);
        onForgotten.accept(function);
      }
    }
    // They go to the end, so that they do not hide idle ones behind them.
    inUse.forEach(function -> functions.get(function.id));
  }
}
