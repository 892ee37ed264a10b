package umberrun.fleet.net;

import com.google.gson.JsonPrimitive;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.NetUtil;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.admission.TokenBucket;
import umberrun.config.FleetOptions;
import umberrun.core.Clock;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.net.FleetCodec.Frame;
import umberrun.fleet.net.FleetCodec.TopicMessage;
import umberrun.fleet.net.FleetCodec.UndecodableException;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Datagrams and full exchanges on one address, on the one event loop and within bounds of packets
 * and bytes a second: what is beyond them is dropped and counted, as it would be by a poor link.
 */
final class FleetTransport {
  /** Who takes what comes in. */
  interface Listener {
    void onMessage(GossipMessage m);

    /** Whether there is time for a full exchange: calls come first. */
    boolean canExchange();

    /** Takes in what another tells; what to tell it. */
    List<Claim> merge(List<Claim> theirs);

    /** The view as text, for an operator. */
    String view();

    /** An operator has this member leave. */
    String leave();

    /** A parcel came for a part that uses the listener. */
    void onTopicMessage(TopicMessage p);

    /** An operator calls such a part; its answer comes soon. */
    Future<String> onOperatorCall(String words);
  }

  /**
   * The exchange did not come about; {@code refused} where the machine answers and nobody listens.
   */
  static final class Unreachable extends Exception {
    private static final long serialVersionUID = 1;
    final boolean refused;

    Unreachable(String message, boolean refused) {
      super(message, null, false, false);
      this.refused = refused;
    }
  }

  private static final int EXCHANGE_MILLIS = 2_000;
  private static final int CONNECT_MILLIS = 1_000;
  private static final int IDLE_SECONDS = 3;

  /** A claim in a frame, in bytes, to know beforehand what an exchange costs. */
  private static final int CLAIM_BYTES = 130;

  private final Vertx vertx;
  private final Clock clock;
  private final Counters counters;
  private final ConnectionLimits account;
  private final FleetOptions options;
  private final FleetCodec codec;
  private final Listener hearer;
  private final NetClient client;
  private final TokenBucket packetsOut;
  private final TokenBucket packetsIn;
  private final TokenBucket bytesOut;
  private final TokenBucket bytesIn;
  private DatagramSocket datagrams;
  private NetServer server;

  FleetTransport(
      Vertx vertx,
      Clock clock,
      Counters counters,
      ConnectionLimits account,
      FleetOptions options,
      Listener hearer) {
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.account = account;
    this.options = options;
    this.codec = new FleetCodec(options.name());
    this.hearer = hearer;
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_MILLIS).setTcpNoDelay(true));
    long now = clock.now();
    packetsOut = new TokenBucket(options.packetsPerSecond(), options.packetsPerSecond(), now);
    packetsIn = new TokenBucket(options.packetsPerSecond(), options.packetsPerSecond(), now);
    bytesOut = new TokenBucket(options.bytesPerSecond(), options.bytesPerSecond(), now);
    bytesIn = new TokenBucket(options.bytesPerSecond(), options.bytesPerSecond(), now);
  }

  /**
   * Takes the address, both for connections and for datagrams; the port. Neither is held where it
   * fails.
   */
  Future<Integer> listen() {
    server =
        vertx
            .createNetServer(
                new NetServerOptions()
                    .setTcpNoDelay(true)
                    .setReuseAddress(true)
                    .setIdleTimeout(IDLE_SECONDS))
            .connectHandler(this::accept);
    datagrams = vertx.createDatagramSocket(new DatagramSocketOptions()).handler(this::datagram);
    return server
        .listen(options.listen())
        .compose(s -> datagrams.listen(s.actualPort(), options.listen().host()).map(s.actualPort()))
        .onFailure(e -> close());
  }

  /** Lets go of the address at once. */
  void close() {
    server.close();
    datagrams.close();
  }

  // ---------------------------------------------------------------- datagrams

  void send(String address, GossipMessage m) {
    SocketAddress to = way(address);
    byte[] bytes = codec.encode(m);
    if (to == null
        || packetsOut.take(1, clock.now()) > 0
        || bytesOut.take(bytes.length, clock.now()) > 0) {
      counters.add(Count.FLEET_PACKETS_DROPPED);
      return;
    }
    counters.add(Count.FLEET_PACKETS_SENT);
    datagrams
        .send(Buffer.buffer(bytes), to.port(), to.host())
        .onFailure(e -> counters.add(Count.FLEET_PACKETS_DROPPED)); // as if lost on the way
  }

  /** Sends a parcel: as a datagram where it fits one. Where it is lost, nobody is told. */
  void send(String address, TopicMessage p) {
    byte[] bytes = codec.encode(p);
    SocketAddress to = way(address);
    if (to == null
        || packetsOut.take(1, clock.now()) > 0
        || bytesOut.take(bytes.length, clock.now()) > 0) {
      counters.add(Count.FLEET_PACKETS_DROPPED);
    } else if (bytes.length <= FleetCodec.MAX_DATAGRAM_BYTES) {
      counters.add(Count.FLEET_PACKETS_SENT);
      datagrams
          .send(Buffer.buffer(bytes), to.port(), to.host())
          .onFailure(e -> counters.add(Count.FLEET_PACKETS_DROPPED));
    } else if (bytes.length <= FleetCodec.MAX_FRAME_BYTES && account.tryAcquire(Purpose.PEERS)) {
      client
          .connect(to)
          .onFailure(e -> account.release(Purpose.PEERS))
          .onSuccess(
              socket -> {
                long timer =
                    vertx.setTimer(
                        EXCHANGE_MILLIS,
                        t -> socket.close()); // guards the place against one that does not read
                socket.exceptionHandler(e -> socket.close());
                socket.closeHandler(
                    v -> {
                      vertx.cancelTimer(timer);
                      account.release(Purpose.PEERS);
                    });
                FrameStream.send(socket, bytes).onSuccess(v -> socket.close());
              });
    } else {
      counters.add(Count.FLEET_PACKETS_DROPPED);
    }
  }

  private void datagram(DatagramPacket p) {
    if (packetsIn.take(1, clock.now()) > 0 || bytesIn.take(p.data().length(), clock.now()) > 0) {
      counters.add(Count.FLEET_PACKETS_DROPPED);
      return;
    }
    try {
      byte[] bytes = p.data().getBytes();
      TopicMessage parcel = codec.decodeTopicMessage(bytes);
      if (parcel != null) {
        counters.add(Count.FLEET_PACKETS_TAKEN);
        hearer.onTopicMessage(parcel);
        return;
      }
      GossipMessage m = codec.decodeMessage(bytes);
      counters.add(Count.FLEET_PACKETS_TAKEN);
      hearer.onMessage(m);
    } catch (UndecodableException e) {
      unusable(e);
    }
  }

  private void unusable(UndecodableException e) {
    counters.add(e.foreign ? Count.FLEET_FOREIGN : Count.FLEET_UNREADABLE);
  }

  /** Where to send for an address; null where it is none, as names are not looked up. */
  private SocketAddress way(String address) {
    String to = options.via().getOrDefault(address, address);
    int colon = to.lastIndexOf(':');
    if (colon <= 0
        || !NetUtil.isValidIpV4Address(to.substring(0, colon))
            && !NetUtil.isValidIpV6Address(to.substring(0, colon))) {
      return null;
    }
    try {
      int port = Integer.parseInt(to.substring(colon + 1));
      return port > 0 && port <= 65_535
          ? SocketAddress.inetSocketAddress(port, to.substring(0, colon))
          : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  // ---------------------------------------------------------------- full exchanges

  /**
   * Tells all to an address; what it tells in turn. Fails with {@link Unreachable}, and within a
   * bound of time.
   */
  Future<List<Claim>> exchange(String address, List<Claim> mine) {
    SocketAddress to = way(address);
    if (to == null
        || bytesOut.take((double) CLAIM_BYTES * mine.size(), clock.now()) > 0
        || !account.tryAcquire(Purpose.PEERS)) {
      return Future.failedFuture(
          new Unreachable("no address, or nothing left to spend on it", false));
    }
    counters.add(Count.FLEET_EXCHANGES);
    Promise<List<Claim>> told = Promise.promise();
    client
        .connect(to)
        .onFailure(
            e -> {
              account.release(Purpose.PEERS);
              told.tryFail(
                  new Unreachable(
                      String.valueOf(e.getMessage()),
                      e instanceof ConnectException && !(e instanceof ConnectTimeoutException)));
            })
        .onSuccess(
            socket -> {
              long timer = vertx.setTimer(EXCHANGE_MILLIS, t -> socket.close());
              List<Claim> theirs = new ArrayList<>();
              FrameStream frames =
                  new FrameStream(
                      codec,
                      socket,
                      p -> {},
                      f -> {
                        if (collected(theirs, f)) {
                          told.tryComplete(theirs);
                          socket.close();
                        }
                      },
                      this::unusable);
              socket.exceptionHandler(e -> socket.close());
              socket.closeHandler(
                  v -> {
                    vertx.cancelTimer(timer);
                    account.release(Purpose.PEERS);
                    told.tryFail(new Unreachable("closed, or not answered in time", false));
                  });
              frames.send(mine);
            });
    return told.future();
  }

  /**
   * Guards the memory against a list without an end: what is beyond the members that may be known
   * is passed over.
   */
  private boolean collected(List<Claim> all, Frame f) {
    if (f.kind() != Frame.Kind.SYNC) {
      return false;
    }
    if (all.size() <= options.members()) {
      all.addAll(f.claims());
    }
    return f.last();
  }

  private void accept(NetSocket socket) {
    if (!account.tryAcquire(
        Purpose.PEERS)) { // guards the descriptors: others can ask somebody else
      socket.close();
      return;
    }
    long timer =
        vertx.setTimer(
            EXCHANGE_MILLIS,
            t -> socket.close()); // guards the place against one that is slow for ever
    socket.exceptionHandler(e -> socket.close());
    socket.closeHandler(
        v -> {
          vertx.cancelTimer(timer);
          account.release(Purpose.PEERS);
        });
    List<Claim> theirs = new ArrayList<>();
    FrameStream[] self = new FrameStream[1];
    self[0] =
        new FrameStream(
            codec,
            socket,
            hearer::onTopicMessage,
            f -> {
              if (!hearer.canExchange() && f.kind() == Frame.Kind.SYNC) {
                socket.close();
              } else if (f.kind() == Frame.Kind.CALL) {
                hearer
                    .onOperatorCall(f.text())
                    .onComplete(
                        text -> self[0].send(f.kind(), text),
                        e ->
                            self[0].send(
                                f.kind(),
                                "{\"fault\":"
                                    + new JsonPrimitive(String.valueOf(e.getMessage()))
                                    + "}"));
              } else if (f.kind() != Frame.Kind.SYNC) {
                self[0].send(
                    f.kind(), f.kind() == Frame.Kind.VIEW ? hearer.view() : hearer.leave());
              } else if (collected(theirs, f)) {
                List<Claim> mine = hearer.merge(theirs);
                if (bytesOut.take((double) CLAIM_BYTES * mine.size(), clock.now()) > 0) {
                  socket.close();
                } else {
                  self[0].send(mine);
                }
              }
            },
            this::unusable);
  }
}
