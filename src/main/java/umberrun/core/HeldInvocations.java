package umberrun.core;

import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * The invocations that are held for their results or keys: those of this process, and those of
 * other processes of this front end. Completed ones are discarded after a time, or earlier for want
 * of room. Times are Unix microseconds.
 */
final class HeldInvocations {
  private final Vertx vertx;
  private final Clock clock;
  private final Counters counters;
  private final InvocationRetention retention;
  private final long keepMicros;
  private final Map<String, Invocation> byId = new LinkedHashMap<>();
  private final Map<String, Invocation> byKey = new HashMap<>();

  /** Total size of the request bodies that are held. */
  private long bodyBytes;

  /**
   * @param keepMillis how long a completed invocation is held, in milliseconds
   */
  HeldInvocations(
      Vertx vertx, Clock clock, Counters counters, InvocationRetention retention, long keepMillis) {
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.retention = retention;
    this.keepMicros = keepMillis * 1_000;
  }

  /** All invocations, the oldest first. */
  Collection<Invocation> all() {
    return Collections.unmodifiableCollection(byId.values());
  }

  /** The invocation with this id, or null. */
  Invocation find(String id) {
    return byId.get(id);
  }

  /** The invocation that holds this key, or null. */
  Invocation findByKey(String scopedKey) {
    return byKey.get(scopedKey);
  }

  /** What the invocations take that have a result, in bytes. */
  long completedBytes() {
    return retention.bytes();
  }

  /** Holds an invocation that is not over, and binds its key to it. */
  void add(Invocation invocation) {
    byId.put(invocation.id(), invocation);
    if (invocation.scopedKey != null) {
      byKey.put(invocation.scopedKey, invocation);
    }
    bodyBytes += invocation.requestBodyBytes();
    publishLevels();
  }

  /** Ends an invocation; its waiters get the result. */
  void complete(Invocation invocation, Result result, long endedAt) {
    cancelTimer(invocation);
    invocation.endedAt = endedAt;
    if (result instanceof Result.Refused && invocation.scopedKey != null) {
      // It never ran, so a retry with the same key starts a new invocation.
      byKey.remove(invocation.scopedKey, invocation);
    }
    bodyBytes -= invocation.requestBodyBytes();
    invocation.complete(result);
    retention.add(invocation);
    discardAt(invocation, endedAt + keepMicros);
    publishLevels();
  }

  /**
   * Discards the oldest invocations until there is room for another. Returns false where the oldest
   * must keep its key.
   */
  boolean makeRoom() {
    while (!retention.hasRoom()) {
      Invocation oldest = retention.evictable(clock.now());
      if (oldest == null) {
        return false;
      }
      discard(oldest);
    }
    return true;
  }

  /** Discards a completed invocation; its key stays bound within the deduplication window. */
  void discard(Invocation invocation) {
    cancelTimer(invocation);
    invocation.collectable = false;
    if (invocation.scopedKey != null && retention.mustKeepKey(invocation, clock.now())) {
      discardAt(invocation, retention.keyKeptUntil(invocation));
      return;
    }
    byId.remove(invocation.id(), invocation);
    if (invocation.scopedKey != null) {
      byKey.remove(invocation.scopedKey, invocation);
    }
    retention.remove(invocation);
    publishLevels();
  }

  private void discardAt(Invocation invocation, long time) {
    invocation.timerId =
        vertx.setTimer(
            Math.max(1, (time - clock.now()) / 1_000 + 1),
            t -> {
              invocation.timerId = -1;
              discard(invocation);
            });
  }

  void cancelTimer(Invocation invocation) {
    if (invocation.timerId >= 0) {
      vertx.cancelTimer(invocation.timerId);
      invocation.timerId = -1;
    }
  }

  private void publishLevels() {
    counters.set(Count.INVOCATIONS_HELD, byId.size());
    counters.set(Count.INVOCATION_BODY_BYTES, bodyBytes);
    counters.set(Count.INVOCATION_RESULT_BYTES, retention.bytes());
  }
}
