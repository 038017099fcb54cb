//! Reads and checks settings. Every fault is told at once.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use dyketally::document::{FaultKind, FaultList, FaultReport, TableReader, parse_table};
use dyketally::identifiers::Locality;
use toml::Table;

use super::values::FilePath;
use super::{
    AdvertisedAddresses, Flags, Limits, ListenAddresses, LoggingSettings, MembershipSettings,
    NetworkSettings, NodeSettings, PlatformSettings, Route, Settings,
};

const DEFAULT_CALLERS_PORT: u16 = 6432;
const DEFAULT_PEERS_PORT: u16 = 7432;
const DEFAULT_MEMBERSHIP_PORT: u16 = 7432;
const DEFAULT_ADMIN_PORT: u16 = 7480;

const MESSAGE_BYTES: RangeInclusive<u32> = 1_024..=1_073_741_824;
const DEFAULT_MESSAGE_BYTES: u32 = 16 * 1_024 * 1_024;
const CALLERS: RangeInclusive<u32> = 1..=1_000_000;
const DEFAULT_CALLERS: u32 = 5_000;
const DRAIN_DEADLINES: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(3_600);
const DEFAULT_DRAIN_DEADLINE: Duration = Duration::from_secs(30);

/// What faults call settings that came from flags alone.
const FLAGS_ONLY: &str = "flags";

/// Reads the settings file that the flags name, if any, with the flags over it.
pub fn load(flags: &Flags) -> Result<Settings, FaultReport> {
    let Some(path) = &flags.settings else {
        return read(FLAGS_ONLY, "", flags);
    };
    let document = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => read(&document, &text, flags),
        Err(error) => {
            let message = error.to_string();
            let faults = FaultList::new();
            faults.add(&document, "", FaultKind::Unreadable { message });
            Err(FaultReport(faults.into_faults()))
        }
    }
}

/// Reads settings from `text`, which faults call `document`, with the flags over it.
pub fn read(document: &str, text: &str, flags: &Flags) -> Result<Settings, FaultReport> {
    let faults = FaultList::new();
    let settings = parse_table(document, text, &faults).and_then(|mut table| {
        flags.overlay(&mut table);
        read_settings(document, &table, &faults)
    });
    faults.into_result(settings).map_err(FaultReport)
}

fn read_settings(document: &str, table: &Table, faults: &FaultList) -> Option<Settings> {
    let root = TableReader::new(document, table, faults);
    let node = read_node(root.table("node"));
    let listen = read_listen(root.table("listen"));
    let advertise = read_advertise(root.table("advertise"), listen);
    let membership = read_membership(root.table("membership"));
    let platform = read_platform(root.table("platform"));
    let network = read_network(root.table("network"));
    let limits = read_limits(root.table("limits"));
    let logging = read_logging(root.table("logging"));
    let configuration_file = read_path(&root, "configuration_file");
    root.finish();
    Some(Settings {
        node: node?,
        listen,
        advertise,
        membership,
        platform,
        network,
        limits,
        logging,
        configuration_file,
    })
}

fn read_node(reader: TableReader<'_>) -> Option<NodeSettings> {
    let name = reader.required("name");
    let region = reader.required("region");
    let zone = reader.required("zone");
    reader.finish();
    Some(NodeSettings {
        name: name?,
        locality: Locality {
            region: region?,
            zone: zone?,
        },
    })
}

fn read_listen(reader: TableReader<'_>) -> ListenAddresses {
    let any = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), port);
    let loopback = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    let listen = ListenAddresses {
        callers: reader.or_default("callers", any(DEFAULT_CALLERS_PORT)),
        peers: reader.or_default("peers", any(DEFAULT_PEERS_PORT)),
        membership: reader.or_default("membership", any(DEFAULT_MEMBERSHIP_PORT)),
        admin: reader.or_default("admin", loopback(DEFAULT_ADMIN_PORT)),
    };
    check_listeners_differ(&reader, &listen);
    reader.finish();
    listen
}

/// The TCP listeners need ports of their own; membership is UDP and may share a number.
fn check_listeners_differ(reader: &TableReader<'_>, listen: &ListenAddresses) {
    let listeners = [
        ("callers", listen.callers),
        ("peers", listen.peers),
        ("admin", listen.admin),
    ];
    for (index, (key, address)) in listeners.iter().enumerate() {
        let same = |(_, other): &&(&str, SocketAddr)| collide(*address, *other);
        if let Some((first, _)) = listeners[..index].iter().find(same) {
            let value = address.to_string();
            let first = reader.path_of(first);
            reader.fault(key, FaultKind::Duplicate { value, first });
        }
    }
}

fn collide(one: SocketAddr, other: SocketAddr) -> bool {
    let covers = one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && covers
}

fn read_advertise(reader: TableReader<'_>, listen: ListenAddresses) -> AdvertisedAddresses {
    let advertise = AdvertisedAddresses {
        callers: read_advertised(&reader, "callers", None),
        peers: read_advertised(&reader, "peers", Some(listen.peers)),
        membership: read_advertised(&reader, "membership", Some(listen.membership)),
    };
    reader.finish();
    advertise
}

/// Reads an advertised address. `listen` is given where other nodes are told the address: then
/// the one they are told must be reachable.
fn read_advertised(
    reader: &TableReader<'_>,
    key: &'static str,
    listen: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let advertised: Option<SocketAddr> = reader.optional(key);
    let unreachable = match (advertised, listen) {
        (Some(address), _) => address.ip().is_unspecified() || address.port() == 0,
        (None, Some(address)) => address.ip().is_unspecified() && reader.value(key).is_none(),
        (None, None) => false,
    };
    if unreachable {
        let found = advertised
            .or(listen)
            .map_or(String::new(), |found| found.to_string());
        let remedy = "an address and port of this machine here or under [listen]";
        reader.fault(key, FaultKind::UnreachableAddress { found, remedy });
    }
    advertised
}

fn read_membership(reader: TableReader<'_>) -> MembershipSettings {
    let seeds: Vec<SocketAddr> = reader.list("seeds");
    for (index, seed) in seeds.iter().enumerate() {
        check_destination(&reader, &format!("seeds[{index}]"), *seed);
    }
    reader.finish();
    MembershipSettings { seeds }
}

fn check_destination(reader: &TableReader<'_>, key: &str, address: SocketAddr) {
    if address.ip().is_unspecified() || address.port() == 0 {
        let found = address.to_string();
        let remedy = "the address and port of a machine";
        reader.fault(key, FaultKind::UnreachableAddress { found, remedy });
    }
}

fn read_platform(reader: TableReader<'_>) -> PlatformSettings {
    let platform = PlatformSettings {
        key_value: reader.optional("key_value"),
        machines: reader.optional("machines"),
    };
    reader.finish();
    platform
}

fn read_network(reader: TableReader<'_>) -> NetworkSettings {
    let mut seen = BTreeSet::new();
    let mut routes = Vec::new();
    for entry in reader.tables("routes") {
        let to: Option<SocketAddr> = entry.required("to");
        let via: Option<SocketAddr> = entry.required("via");
        if let Some(via) = via {
            check_destination(&entry, "via", via);
        }
        if let Some(to) = to
            && !seen.insert(to)
        {
            let value = to.to_string();
            let first = "an earlier route".to_owned();
            entry.fault("to", FaultKind::Duplicate { value, first });
        }
        entry.finish();
        routes.extend(to.zip(via).map(|(to, via)| Route { to, via }));
    }
    reader.finish();
    NetworkSettings { routes }
}

fn read_limits(reader: TableReader<'_>) -> Limits {
    let longest = reader.number_in("longest_message_bytes", MESSAGE_BYTES);
    let callers = reader.number_in("callers", CALLERS);
    let drain_deadline = reader.in_range("drain_deadline", DRAIN_DEADLINES);
    reader.finish();
    Limits {
        longest_message_bytes: longest.unwrap_or(DEFAULT_MESSAGE_BYTES) as usize,
        callers: callers.unwrap_or(DEFAULT_CALLERS) as usize,
        drain_deadline: drain_deadline.unwrap_or(DEFAULT_DRAIN_DEADLINE),
    }
}

fn read_logging(reader: TableReader<'_>) -> LoggingSettings {
    let logging = LoggingSettings {
        layout: reader.or_default("layout", Default::default()),
        level: reader.or_default("level", Default::default()),
        file: read_path(&reader, "file"),
    };
    reader.finish();
    logging
}

fn read_path(reader: &TableReader<'_>, key: &str) -> Option<PathBuf> {
    let path: FilePath = reader.optional(key)?;
    Some(path.0)
}
